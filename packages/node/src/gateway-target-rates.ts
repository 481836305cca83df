/**
 * Holds the requests of this gateway to its part of the rates of targets: that
 * of cold targets, and the limits that targets in need name in their responses.
 * Gateways tell each other of limits that begin, change or end.
 */
import type {Logger} from '@catkindale/common';
import {
	type RateNode, type RateTarget, type TrafficService, getLimitNodeRate, getRateTokenDelay, getWarmupNodeRate, rankLimitNodes, takeRateToken,
} from '@catkindale/policy';
import type {TargetLimit} from '@catkindale/protocol';
import type {GatewayTarget} from './gateway-targets.js';

/** The requests per second that each gateway receives, and the number of all gateways, also of those without contact. */
export type GatewayDemands = {readonly requestRates: ReadonlyMap<string, number>; readonly knownGateways: number};

export type GatewayTargetRates = {
	readonly setGateways: (gateways: ReadonlyArray<{readonly id: string; readonly region: string}>) => void;
	readonly setDemands: (demands: GatewayDemands) => void;
	/** Whether this gateway may send a request to the target now. */
	readonly allowsRequest: (target: GatewayTarget, service: TrafficService, now: number) => boolean;
	readonly takeToken: (target: GatewayTarget, service: TrafficService, now: number) => void;
	/** Milliseconds until this gateway may send a request to the target; infinite if others use its whole rate. */
	readonly getDelay: (target: GatewayTarget, service: TrafficService, now: number) => number;
	/**
	 * Records the limit of a response; undefined if the response names none.
	 * @param source the gateway that told of it, or `ownResponseSource`
	 * @param isForwarded whether the other gateways are told of it too
	 */
	readonly recordLimit: (target: GatewayTarget, limitPerSecond: number | undefined, source: string, isForwarded: boolean) => void;
	/** Limits to tell the other gateways that have begun, changed or ended since the last call. */
	readonly takeChangedLimits: () => readonly TargetLimit[];
	readonly removeTarget: (id: string) => void;
};

export type GatewayTargetRatesOptions = {
	readonly logger: Logger;
	readonly ownId: string;
	readonly region: string;
};

export const ownResponseSource = 'response';
/** Smaller changes of a limit aren't worth a message. */
const relevantChange = 0.1;

export function createGatewayTargetRates({logger, ownId, region}: GatewayTargetRatesOptions): GatewayTargetRates {
	let gatewayIds: readonly string[] = [ownId];
	let regions: ReadonlyMap<string, string> = new Map([[ownId, region]]);
	let nodes: ReadonlyMap<string, RateNode> = new Map([[ownId, {id: ownId, region, demand: 0}]]);
	let knownGateways = 1;
	const changedLimits = new Map<string, number | undefined>();
	/** This gateway's part of each rate, cached since ranking the gateways for each request would cost too much. */
	const warmupShares = new Map<string, number>();
	const limitRates = new Map<string, number>();
	/** The ranked gateways of each target with a limit. They change more rarely than the demands. */
	const limitRankings = new Map<string, readonly string[]>();

	const getWarmupRate = ({registration: {id}}: GatewayTarget, {warmupRequestsPerSecond}: TrafficService): number => {
		if (warmupRequestsPerSecond === undefined) {
			return Number.POSITIVE_INFINITY;
		}

		const share = warmupShares.get(id) ?? getWarmupNodeRate(ownId, gatewayIds, id, 1);
		warmupShares.set(id, share);
		return warmupRequestsPerSecond * share;
	};

	const getRankedNodes = (target: RateTarget): RateNode[] => {
		const ranking = limitRankings.get(target.id) ?? rankLimitNodes(target, [...nodes.values()]).map(({id}) => id);
		limitRankings.set(target.id, ranking);
		return ranking.flatMap(id => nodes.get(id) ?? []);
	};

	const getLimitRate = ({registration: target, reported: {limitPerSecond}}: GatewayTarget): number => {
		if (limitPerSecond === undefined) {
			return Number.POSITIVE_INFINITY;
		}

		const rate = limitRates.get(target.id) ?? getLimitNodeRate({
			ownId, nodes: getRankedNodes(target), knownNodes: knownGateways, target, limitPerSecond,
		});
		limitRates.set(target.id, rate);
		return rate;
	};

	const getRate = (target: GatewayTarget, service: TrafficService, now: number): number => Math.min(
		target.coldUntil > now ? getWarmupRate(target, service) : Number.POSITIVE_INFINITY,
		getLimitRate(target),
	);

	return {
		setGateways(gateways) {
			gatewayIds = [...new Set([...gateways.map(({id}) => id), ownId])];
			regions = new Map([...gateways.map(gateway => [gateway.id, gateway.region] as const), [ownId, region]]);
			warmupShares.clear();
			limitRates.clear();
			limitRankings.clear();
		},
		setDemands(next) {
			const isSameFleet = next.requestRates.size === nodes.size && [...next.requestRates.keys()].every(id => nodes.has(id) && nodes.get(id)?.region === regions.get(id));
			if (!isSameFleet) {
				limitRankings.clear();
			}

			nodes = new Map([...next.requestRates].map(([id, demand]) => [id, {id, region: regions.get(id), demand}]));
			knownGateways = next.knownGateways;
			limitRates.clear();
		},
		allowsRequest(target, service, now) {
			const rate = getRate(target, service, now);
			return rate === Number.POSITIVE_INFINITY || takeRateToken(target.rateBucket, rate, now) !== undefined;
		},
		takeToken(target, service, now) {
			const rate = getRate(target, service, now);
			if (rate !== Number.POSITIVE_INFINITY) {
				target.rateBucket = takeRateToken(target.rateBucket, rate, now) ?? target.rateBucket;
			}
		},
		getDelay: (target, service, now) => getRateTokenDelay(target.rateBucket, getRate(target, service, now), now),
		recordLimit(target, limitPerSecond, source, isForwarded) {
			const previous = target.reported.limitPerSecond;
			if (previous === limitPerSecond) {
				return;
			}

			const {id} = target.registration;
			target.reported.limitPerSecond = limitPerSecond;
			limitRates.delete(id);
			if (!isRelevantChange(previous, limitPerSecond)) {
				return;
			}

			logger.info('target_limit_changed', {
				target: id, source, limit: limitPerSecond, previous,
			});
			if (isForwarded) {
				changedLimits.set(id, limitPerSecond);
			}
		},
		takeChangedLimits() {
			const taken = [...changedLimits].map(([target, limitPerSecond]) => ({target, limitPerSecond}));
			changedLimits.clear();
			return taken;
		},
		removeTarget(id) {
			warmupShares.delete(id);
			limitRates.delete(id);
			limitRankings.delete(id);
			changedLimits.delete(id);
		},
	};
}

function isRelevantChange(previous: number | undefined, next: number | undefined): boolean {
	return previous === undefined || next === undefined || Math.abs(next - previous) > relevantChange * previous;
}
