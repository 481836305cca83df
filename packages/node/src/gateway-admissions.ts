/**
 * Admits customers' requests. A gateway that is attached to a relay asks the
 * relay. Any other one decides itself if the rate is divided or it is the
 * customer's keeper, and asks the keeper of its region otherwise.
 */
import {Counter, type Registry} from 'prom-client';
import {type Clock, type Logger, millisecondsPerSecond} from '@catkindale/common';
import type {MessageBus} from '@catkindale/kernel';
import {type Member, type TrafficCustomer, chooseQuotaKeeper} from '@catkindale/policy';
import type {AdmissionAnswer, AdmissionRequest} from '@catkindale/protocol';
import type {FleetLinks} from './fleet-links.js';
import type {GatewayQuotas, QuotaAdmission} from './gateway-quotas.js';
import type {NodeMessage} from './node-messages.js';

export type GatewayAdmissions = {
	readonly admit: (customer: TrafficCustomer, remainingMilliseconds: number) => Promise<QuotaAdmission>;
	/** Returns the token of a request that no target ran. */
	readonly refund: (customer: TrafficCustomer) => void;
	/** The serving gateways of this region, this one included. */
	readonly setRegionGateways: (gateways: readonly Member[]) => void;
	readonly setLinks: (links: FleetLinks) => void;
	/** The smoothed requests per second of all customers; each call measures the time since the last one. */
	readonly measureRequestRate: () => number;
	readonly stop: () => void;
};

export type GatewayAdmissionsOptions = {
	readonly bus: MessageBus<NodeMessage>;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Registry;
	readonly ownId: string;
	readonly quotas: GatewayQuotas;
	readonly findCustomer: (name: string) => TrafficCustomer | undefined;
};

type PendingRequest = {readonly decider: string; readonly settle: (answer: AdmissionAnswer | undefined) => void};

/** Most answers take a round trip within a region; later ones are lost with their gateway. */
const answerTimeoutMilliseconds = 500;
/** By then, the loss of a gateway is known. */
const deciderLostRetryMilliseconds = 500;
/** A gateway that doesn't know the customer receives its configuration soon. */
const unknownCustomerRetryMilliseconds = 200;
const latestRateWeight = 0.5;

export function createGatewayAdmissions({bus, clock, logger, metrics, ownId, quotas, findCustomer}: GatewayAdmissionsOptions): GatewayAdmissions {
	const pending = new Map<number, PendingRequest>();
	let lastId = 0;
	let regionGateways: readonly Member[] = [];
	/** Those of `regionGateways` that may be keepers. */
	let keeperCandidates: readonly Member[] = [];
	let links: FleetLinks = {kind: 'mesh'};
	/** Peers that answer questions, according to their reports. */
	const answeringPeers = new Set<string>();
	let requests = 0;
	let requestRate = 0;
	let measuredAt = clock.monotonic();
	const admissions = new Counter({
		name: 'catkindale_admissions_total',
		help: 'Requests of customers with a limit, by the gateway that decided on them: this one, another, or none as the other one didn\'t answer',
		labelNames: ['decided'],
		registers: [metrics],
	});

	const updateCandidates = (): void => {
		const {kind} = links;
		const relayIds = new Set(kind === 'mesh' ? [] : links.relayIds);
		keeperCandidates = regionGateways.filter(({id}) => id === ownId || (answeringPeers.has(id) && (kind === 'mesh' || relayIds.has(id))));
	};

	const setAnswering = (peer: string, isAnswering: boolean): void => {
		if (isAnswering !== answeringPeers.has(peer)) {
			if (isAnswering) {
				answeringPeers.add(peer);
			} else {
				answeringPeers.delete(peer);
			}

			updateCandidates();
		}
	};

	/** Returns the gateway that decides on the customer's requests; undefined if this one does. */
	const getDecider = (customer: TrafficCustomer): string | undefined => {
		if (customer.ratePerSecond === undefined) {
			return undefined;
		}

		if (links.kind === 'attached') {
			return links.ownRelayIds[0];
		}

		const keeper = quotas.isDivided(customer) ? ownId : chooseQuotaKeeper(customer.name, keeperCandidates);
		return keeper === ownId ? undefined : keeper;
	};

	const ask = async (decider: string, customer: TrafficCustomer, remainingMilliseconds: number): Promise<AdmissionAnswer | undefined> => {
		lastId += 1;
		const id = lastId;
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				pending.get(id)?.settle(undefined);
			}, Math.min(answerTimeoutMilliseconds, remainingMilliseconds));
			pending.set(id, {
				decider,
				settle(answer) {
					clearTimeout(timer);
					pending.delete(id);
					resolve(answer);
				},
			});
			bus.publish({
				type: 'peer-send', to: decider, message: {
					type: 'admission-request', id, customer: customer.name, remainingMilliseconds,
				},
			});
		});
	};

	const admit = async (customer: TrafficCustomer, remainingMilliseconds: number): Promise<QuotaAdmission> => {
		const sentAt = clock.monotonic();
		let silentDecider: string | undefined;
		for (;;) {
			const decider = getDecider(customer);
			if (decider === undefined) {
				admissions.inc({decided: 'here'});
				return quotas.admit(customer, remainingMilliseconds);
			}

			if (decider === silentDecider) {
				admissions.inc({decided: 'nowhere'});
				logger.warn('admission_unanswered', {customer: customer.name, gateway: decider, milliseconds: Math.round(clock.monotonic() - sentAt)});
				return {kind: 'refused', retryAfterMilliseconds: deciderLostRetryMilliseconds, share: 0};
			}

			const answer = await ask(decider, customer, remainingMilliseconds);
			if (answer) {
				admissions.inc({decided: 'elsewhere'});
				return answer.isAdmitted ? {kind: 'admitted'} : {kind: 'refused', retryAfterMilliseconds: answer.retryAfterMilliseconds, share: answer.share};
			}

			// Another gateway may decide by now.
			silentDecider = decider;
		}
	};

	const refund = (customer: TrafficCustomer): void => {
		const decider = getDecider(customer);
		if (decider === undefined) {
			quotas.refund(customer);
		} else {
			bus.publish({type: 'peer-send', to: decider, message: {type: 'admission-return', customer: customer.name}});
		}
	};

	const answerRequest = async (from: string, {id, customer: name, remainingMilliseconds}: AdmissionRequest): Promise<void> => {
		const customer = findCustomer(name);
		const admission: QuotaAdmission = customer ? await admit(customer, remainingMilliseconds) : {kind: 'refused', retryAfterMilliseconds: unknownCustomerRetryMilliseconds, share: 0};
		const refusal = admission.kind === 'refused' ? admission : {retryAfterMilliseconds: 0, share: 0};
		bus.publish({
			type: 'peer-send', to: from, message: {
				type: 'admission-answer', id, isAdmitted: admission.kind === 'admitted', retryAfterMilliseconds: refusal.retryAfterMilliseconds, share: refusal.share,
			},
		});
	};

	const abandonRequestsTo = (decider: string): void => {
		for (const request of pending.values()) {
			if (request.decider === decider) {
				request.settle(undefined);
			}
		}
	};

	const unsubscribers = [
		bus.subscribe('peer-received', ({from, message}) => {
			if (message.type === 'gateway-report') {
				setAnswering(from, message.answersAdmissions === true);
			}

			if (message.type === 'admission-request') {
				void answerRequest(from, message);
			}

			if (message.type === 'admission-answer') {
				pending.get(message.id)?.settle(message);
			}

			const returning = message.type === 'admission-return' ? findCustomer(message.customer) : undefined;
			if (returning) {
				refund(returning);
			}
		}),
		bus.subscribe('peer-disconnected', ({id}) => {
			abandonRequestsTo(id);
			setAnswering(id, false);
		}),
	];

	return {
		async admit(customer, remainingMilliseconds) {
			requests += 1;
			return admit(customer, remainingMilliseconds);
		},
		refund,
		setRegionGateways(gateways) {
			regionGateways = gateways;
			updateCandidates();
		},
		setLinks(next) {
			links = next;
			updateCandidates();
		},
		measureRequestRate() {
			const now = clock.monotonic();
			const seconds = Math.max(1, now - measuredAt) / millisecondsPerSecond;
			measuredAt = now;
			requestRate += latestRateWeight * ((requests / seconds) - requestRate);
			requests = 0;
			return requestRate;
		},
		stop() {
			for (const unsubscribe of unsubscribers) {
				unsubscribe();
			}

			for (const request of pending.values()) {
				request.settle(undefined);
			}
		},
	};
}
