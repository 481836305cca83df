/** The planned share of each service's requests that run in this gateway's region, and the requests beyond it. */
import type {Clock} from '@catkindale/common';
import {
	type FinishCandidate, type Location, type RegionShare, createRegionShare, getObjectPosition, getUtilization, updateRegionShare,
} from '@catkindale/policy';
import type {GatewayTarget} from './gateway-targets.js';

export type GatewayRegionShares = {
	/**
	 * Returns the candidates of other regions if the request is beyond the region's
	 * share; undefined if all candidates may be used.
	 */
	readonly getSurplusCandidates: (request: ShareRequest) => readonly FinishCandidate[] | undefined;
};

export type ShareRequest = {
	readonly service: string;
	/** Undefined if the request concerns no object. */
	readonly objectKey: string | undefined;
	readonly servingTargets: readonly GatewayTarget[];
	readonly candidates: readonly FinishCandidate[];
};

/** Utilizations change little within a shorter time. */
const updateIntervalMilliseconds = 250;

export function createGatewayRegionShares(clock: Clock, location: Location): GatewayRegionShares {
	const shares = new Map<string, RegionShare>();

	const createShare = (targets: readonly GatewayTarget[], now: number): RegionShare => {
		const regions = new Set([location.region]);
		let localSlots = 0;
		let remoteSlots = 0;
		for (const {registration: {region, slots}} of targets) {
			regions.add(region);
			localSlots += region === location.region ? slots : 0;
			remoteSlots += region === location.region ? 0 : slots;
		}

		return createRegionShare({localSlots, remoteSlots, regions: regions.size}, now);
	};

	return {
		getSurplusCandidates({service, objectKey, servingTargets, candidates}) {
			const remote = candidates.filter(({place}) => place === 'remote');
			if (remote.length === 0 || remote.length === candidates.length) {
				return undefined;
			}

			const now = clock.monotonic();
			let share = shares.get(service) ?? createShare(servingTargets, now);
			if (now - share.updatedAt >= updateIntervalMilliseconds) {
				const local = candidates.filter(({place}) => place !== 'remote');
				share = updateRegionShare(share, {local: getUtilization(local), remote: getUtilization(remote)}, now);
			}

			shares.set(service, share);
			const position = objectKey === undefined ? Math.random() : getObjectPosition(objectKey, location.region);
			return position < share.share ? undefined : remote;
		},
	};
}
