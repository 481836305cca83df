/**
 * Admits customers' requests within this gateway's shares of their rates, and
 * measures what customers ask of this gateway.
 */
import {type Clock, millisecondsPerSecond} from '@catkindale/common';
import {
	type TokenBucket, type TrafficCustomer, createTokenBucket, fillTokenBucket, getCustomerRateFraction, getTokenDelay, takeToken,
} from '@catkindale/policy';

export type QuotaAdmission
	= | {readonly kind: 'admitted'}
		| {readonly kind: 'refused'; readonly retryAfterMilliseconds: number; readonly share: number};

export type GatewayQuotas = {
	/** `leftMilliseconds` is the time that the caller has; nothing is promised to it beyond. */
	admit: (customer: TrafficCustomer, leftMilliseconds: number) => QuotaAdmission;
	/** Gives the token back of a request that no target ran. */
	refund: (customer: TrafficCustomer) => void;
	/** Prepares the quotas of the configuration's customers, which fill from now on. */
	setCustomers: (customers: readonly TrafficCustomer[]) => void;
	/** Requests per second of each customer since the last call, smoothed. */
	measureDemands: () => Readonly<Record<string, number>>;
	setDemands: (demands: ReadonlyMap<string, Readonly<Record<string, number>>>, knownGateways: number) => void;
};

export type GatewayQuotasOptions = {
	readonly clock: Clock;
	readonly ownId: string;
	/** Gateways that the settings name; a start without any news assumes a fleet of several times as many. */
	readonly configuredGateways: number;
	readonly tolerance: QuotaTolerance;
};

/** What the fleet may let pass beyond a customer's rate and burst in any window, since nodes count alone. */
export type QuotaTolerance = {
	/** A part of what the customer may send in the window. */
	readonly overage: number;
	/** Requests on top. */
	readonly slackRequests: number;
	readonly windowMilliseconds: number;
};

/** How much of the latest measurement goes into the demand that is told. */
const demandWeight = 0.5;
const leastDemand = 0.05;
const fleetPerNamedGateway = 4;
/** Parts of the tolerated excess; what they leave covers nodes that differ on the shares for a heartbeat. */
const usedOveragePart = 0.3;
const usedExcessPart = 0.4;

type CustomerEntry = {
	/** Its rate and burst are those of the latest request. */
	bucket: TokenBucket;
	arrivals: number;
	demand: number;
	/** Until this time the tokens to come are promised to requests that were refused. */
	promisedUntil: number;
};

export function createGatewayQuotas({clock, ownId, configuredGateways: namedGateways, tolerance}: GatewayQuotasOptions): GatewayQuotas {
	const entries = new Map<string, CustomerEntry>();
	let demands: ReadonlyMap<string, Readonly<Record<string, number>>> = new Map();
	let knownGateways = 0;
	/** They hold until the next demands. */
	const shares = new Map<string, number>();
	/** The latest measurement and the one before it, which the others have heard of. */
	let measured: Readonly<Record<string, number>> = {};
	let heardByOthers: Readonly<Record<string, number>> = {};
	let measuredAt = clock.monotonic();

	const getEntry = (name: string): CustomerEntry => {
		const known = entries.get(name) ?? {
			// It begins empty, since its tokens may have been used by a node before.
			bucket: createTokenBucket(0, 0, 0, clock.monotonic()), arrivals: 0, demand: 0, promisedUntil: 0,
		};
		entries.set(name, known);
		return known;
	};

	/** A gateway that hears from less than half of the others uses less than an equal part. */
	const calculateShare = (customer: string): number => {
		const gateways = Math.max(knownGateways, namedGateways);
		if (demands.size * 2 <= gateways) {
			return 1 / (2 * Math.max(gateways, namedGateways * fleetPerNamedGateway));
		}

		// While a demand grows everywhere, each would else see its own growth before that of the others, and all take too much.
		const known = new Map([...demands].map(([id, byCustomer]) => [id, byCustomer[customer] ?? 0]));
		known.set(ownId, heardByOthers[customer] ?? 0);
		return getCustomerRateFraction({ownId, demands: known});
	};

	const getShare = (customer: string): number => {
		const share = shares.get(customer) ?? calculateShare(customer);
		shares.set(customer, share);
		return share;
	};

	/**
	 * Shares are never used evenly: a node with few requests wastes what grows
	 * beyond its burst. A part of the tolerated excess makes up for it.
	 */
	const getLimit = (customer: TrafficCustomer, share: number): Pick<TokenBucket, 'rate' | 'burst'> => {
		const ratePerSecond = customer.ratePerSecond ?? 0;
		const allowed = (ratePerSecond * tolerance.windowMilliseconds / millisecondsPerSecond) + customer.burst;
		const excess = tolerance.slackRequests + (tolerance.overage * allowed);
		return {
			rate: ratePerSecond * share * (1 + (usedOveragePart * tolerance.overage)),
			burst: Math.max(customer.burst * share, 1 + (usedExcessPart * excess / Math.max(1, demands.size))),
		};
	};

	/**
	 * When the request should come again: each that is refused gets a token of
	 * its own to come for. A caller whose time ends before that learns so and
	 * needn't ask again; its token goes to the next.
	 */
	const promise = (entry: CustomerEntry, {delay, left}: {readonly delay: number; readonly left: number}): number => {
		const now = clock.monotonic();
		const next = Math.max(entry.promisedUntil + (millisecondsPerSecond / entry.bucket.rate), now + delay);
		if (next - now <= left) {
			entry.promisedUntil = next;
		}

		return next - now;
	};

	return {
		admit(customer, leftMilliseconds) {
			const entry = getEntry(customer.name);
			entry.arrivals += 1;
			if (customer.ratePerSecond === undefined) {
				return {kind: 'admitted'};
			}

			const share = getShare(customer.name);
			entry.bucket = fillTokenBucket({...entry.bucket, ...getLimit(customer, share)}, clock.monotonic());
			const taken = takeToken(entry.bucket);
			if (!taken) {
				return {kind: 'refused', retryAfterMilliseconds: promise(entry, {delay: getTokenDelay(entry.bucket), left: leftMilliseconds}), share};
			}

			entry.bucket = taken;
			return {kind: 'admitted'};
		},
		refund(customer) {
			const entry = getEntry(customer.name);
			entry.bucket = {...entry.bucket, tokens: entry.bucket.tokens + 1};
		},
		setCustomers(customers) {
			for (const {name} of customers) {
				getEntry(name);
			}
		},
		measureDemands() {
			const now = clock.monotonic();
			const seconds = Math.max(1, now - measuredAt) / millisecondsPerSecond;
			measuredAt = now;
			const latest: Record<string, number> = {};
			for (const [name, entry] of entries) {
				entry.demand += demandWeight * ((entry.arrivals / seconds) - entry.demand);
				entry.arrivals = 0;
				if (entry.demand >= leastDemand) {
					latest[name] = Number(entry.demand.toFixed(2));
				}
			}

			heardByOthers = measured;
			measured = latest;
			return latest;
		},
		setDemands(next, known) {
			demands = next;
			knownGateways = known;
			shares.clear();
		},
	};
}
