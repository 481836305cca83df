/**
 * Admits customers' requests within this gateway's shares of their rates, and
 * measures each customer's demand at this gateway.
 */
import {
	type Clock, getRecordValue, millisecondsPerSecond, toRecordKey,
} from '@catkindale/common';
import {
	type TokenBucket, type TrafficCustomer, createTokenBucket, fillTokenBucket, getCustomerRateFraction, getTokenDelay, isRateDivided, takeToken,
} from '@catkindale/policy';

export type QuotaAdmission
	= | {readonly kind: 'admitted'}
		| {readonly kind: 'refused'; readonly retryAfterMilliseconds: number; readonly share: number};

export type GatewayQuotas = {
	/** `remainingMilliseconds` is the time that the caller has left; no token is reserved for it beyond that. */
	admit: (customer: TrafficCustomer, remainingMilliseconds: number) => QuotaAdmission;
	/** Returns the token of a request that no target ran to the customer's bucket. */
	refund: (customer: TrafficCustomer) => void;
	/** Creates the token buckets of the configured customers, which fill from now on. */
	setCustomers: (customers: readonly TrafficCustomer[]) => void;
	/** The smoothed requests per second of each customer; each call measures the time since the last one. */
	measureDemands: () => Readonly<Record<string, number>>;
	/** Empties all buckets: during a pause of this process, others may have used its shares. */
	clearTokens: () => void;
	/** @param demands by gateway and customer, of the gateways that admit requests */
	setDemands: (demands: ReadonlyMap<string, Readonly<Record<string, number>>>, fleet: QuotaFleet) => void;
	/** Whether the customer's rate is divided among the gateways; otherwise its keepers admit its requests. */
	isDivided: (customer: TrafficCustomer) => boolean;
};

/** The gateways of the fleet, as far as this one knows. */
export type QuotaFleet = {
	/** All gateways, also those without contact. */
	readonly known: number;
	/** Those in contact, this one included. */
	readonly inContact: number;
	/** Those that decide on admissions: all, or the relays. */
	readonly deciders: number;
	/** Regions with gateways. */
	readonly regions: number;
};

export type GatewayQuotasOptions = {
	readonly clock: Clock;
	readonly ownId: string;
	/** The number of gateways in the settings. Until the demands of others arrive, a fleet several times as large is assumed. */
	readonly configuredGateways: number;
	/** Returns the tolerance that the settings have now. */
	readonly getTolerance: () => QuotaTolerance;
};

/** The requests that the fleet may admit beyond a customer's rate and burst in any window, since each node counts on its own. */
export type QuotaTolerance = {
	/** A fraction of the requests that the customer may send in the window. */
	readonly overage: number;
	/** A number of requests in addition to `overage`. */
	readonly slackRequests: number;
	readonly windowMilliseconds: number;
};

/** Weight of the latest measurement in the smoothed demand. */
const latestDemandWeight = 0.5;
const minimumDemand = 0.05;
const assumedFleetFactor = 4;
/** Fractions of the tolerated excess that are used; the rest covers nodes that disagree on the shares for one heartbeat. */
const usedOverageFraction = 0.3;
const usedExcessFraction = 0.4;

type CustomerState = {
	/** Its rate and burst are those at the latest request. */
	bucket: TokenBucket;
	arrivals: number;
	demand: number;
	/** Monotonic time until which future tokens are reserved for requests that were refused. */
	reservedUntil: number;
};

export function createGatewayQuotas({clock, ownId, configuredGateways, getTolerance}: GatewayQuotasOptions): GatewayQuotas {
	const customerStates = new Map<string, CustomerState>();
	let demands: ReadonlyMap<string, Readonly<Record<string, number>>> = new Map();
	let fleet: QuotaFleet = {
		known: 0, inContact: 0, deciders: 0, regions: 1,
	};
	/** Cached until the next demands arrive. */
	const shares = new Map<string, number>();
	/** The latest measurement, and the one before it, which the other gateways have received. */
	let latestDemands: Readonly<Record<string, number>> = {};
	let previousDemands: Readonly<Record<string, number>> = {};
	let measuredAt = clock.monotonic();

	const getCustomerState = (name: string): CustomerState => {
		const state = customerStates.get(name) ?? {
			// The bucket starts empty, because another node may have used its tokens already.
			bucket: createTokenBucket(0, 0, 0, clock.monotonic()), arrivals: 0, demand: 0, reservedUntil: 0,
		};
		customerStates.set(name, state);
		return state;
	};

	const countGateways = (): number => Math.max(fleet.known, configuredGateways);

	const isDivided = ({ratePerSecond = 0}: TrafficCustomer): boolean => isRateDivided(ratePerSecond, Math.max(fleet.deciders, configuredGateways));

	/** A gateway in contact with at most half of the gateways uses less than an equal share. */
	const calculateShare = (customer: TrafficCustomer): number => {
		const gateways = countGateways();
		if (fleet.inContact * 2 <= gateways) {
			return 1 / (2 * Math.max(gateways, configuredGateways * assumedFleetFactor));
		}

		// Uses this gateway's demand as the others last received it. While a demand grows everywhere, each gateway would otherwise see its own growth first, and all would use too much.
		const receivedDemands = new Map([...demands].map(([id, byCustomer]) => [id, getRecordValue(byCustomer, customer.name) ?? 0]));
		receivedDemands.set(ownId, getRecordValue(previousDemands, customer.name) ?? 0);
		if (isDivided(customer)) {
			return getCustomerRateFraction({ownId, demands: receivedDemands});
		}

		// Only the keepers receive requests of the customer. One of them may just have taken over from another.
		const keeperDemands = new Map([...receivedDemands].filter(([id, demand]) => id === ownId || demand > 0));
		return getCustomerRateFraction({ownId, demands: keeperDemands, nodeCount: fleet.regions});
	};

	const getShare = (customer: TrafficCustomer): number => {
		const share = shares.get(customer.name) ?? calculateShare(customer);
		shares.set(customer.name, share);
		return share;
	};

	/**
	 * Shares are never used evenly: a node with few requests loses the tokens
	 * beyond its burst. A fraction of the tolerated excess compensates for it.
	 */
	const getLimit = (customer: TrafficCustomer, share: number): Pick<TokenBucket, 'rate' | 'burst'> => {
		const tolerance = getTolerance();
		const ratePerSecond = customer.ratePerSecond ?? 0;
		const allowed = (ratePerSecond * tolerance.windowMilliseconds / millisecondsPerSecond) + customer.burst;
		const toleratedExcess = tolerance.slackRequests + (tolerance.overage * allowed);
		return {
			rate: ratePerSecond * share * (1 + (usedOverageFraction * tolerance.overage)),
			burst: Math.max(customer.burst * share, 1 + (usedExcessFraction * toleratedExcess / Math.max(1, isDivided(customer) ? demands.size : fleet.regions))),
		};
	};

	/**
	 * Returns the milliseconds after which a refused request should be retried,
	 * and reserves a token of its own for it. A caller whose time ends earlier
	 * can see that a retry is useless; its token goes to the next request.
	 */
	const reserveToken = (state: CustomerState, {delay, remaining}: {readonly delay: number; readonly remaining: number}): number => {
		const now = clock.monotonic();
		const retryAt = Math.max(state.reservedUntil + (millisecondsPerSecond / state.bucket.rate), now + delay);
		if (retryAt - now <= remaining) {
			state.reservedUntil = retryAt;
		}

		return retryAt - now;
	};

	return {
		admit(customer, remainingMilliseconds) {
			const state = getCustomerState(customer.name);
			state.arrivals += 1;
			if (customer.ratePerSecond === undefined) {
				return {kind: 'admitted'};
			}

			const share = getShare(customer);
			state.bucket = fillTokenBucket({...state.bucket, ...getLimit(customer, share)}, clock.monotonic());
			const taken = takeToken(state.bucket);
			if (!taken) {
				return {kind: 'refused', retryAfterMilliseconds: reserveToken(state, {delay: getTokenDelay(state.bucket), remaining: remainingMilliseconds}), share};
			}

			state.bucket = taken;
			return {kind: 'admitted'};
		},
		refund(customer) {
			const state = getCustomerState(customer.name);
			state.bucket = {...state.bucket, tokens: state.bucket.tokens + 1};
		},
		setCustomers(customers) {
			for (const {name} of customers) {
				getCustomerState(name);
			}
		},
		measureDemands() {
			const now = clock.monotonic();
			const seconds = Math.max(1, now - measuredAt) / millisecondsPerSecond;
			measuredAt = now;
			const measuredDemands: Record<string, number> = {};
			for (const [name, state] of customerStates) {
				state.demand += latestDemandWeight * ((state.arrivals / seconds) - state.demand);
				state.arrivals = 0;
				if (state.demand >= minimumDemand) {
					measuredDemands[toRecordKey(name)] = Number(state.demand.toFixed(2));
				}
			}

			previousDemands = latestDemands;
			latestDemands = measuredDemands;
			return measuredDemands;
		},
		clearTokens() {
			for (const state of customerStates.values()) {
				state.bucket = {...state.bucket, tokens: 0, filledAt: clock.monotonic()};
			}
		},
		setDemands(nextDemands, nextFleet) {
			demands = nextDemands;
			fleet = nextFleet;
			shares.clear();
		},
		isDivided,
	};
}
