/**
 * What is known from before a traffic source came back from a copy of its rows. The
 * copy is some seconds old and must not undo it: of two states the more restrictive
 * one is used until the operator and the targets have written their rows again.
 */
import type {TrafficTarget, VersionOrder} from './traffic-configuration.js';

/** One run of a target; another run under the same identifier differs in its start or address. */
export type TargetInstance = Pick<TrafficTarget, 'id' | 'startedAt' | 'address'>;

export type HeldState = {
	/** Targets that were leaving or gone, by identifier; of several runs the last one. */
	readonly departed: ReadonlyMap<string, TargetInstance>;
	readonly evacuatedZones: ReadonlySet<string>;
	/** The latest order of each service. */
	readonly orders: ReadonlyMap<string, VersionOrder>;
	/** The first revision that was seen after the return; orders with a later one were certainly written after it. */
	readonly restoredRevision: number;
};

type Orders = {readonly versions: readonly VersionOrder[]; readonly evacuatedZones: readonly string[]};

export const emptyHeldState: HeldState = {
	departed: new Map(), evacuatedZones: new Set(), orders: new Map(), restoredRevision: 0,
};

/** Departures beyond this are forgotten, the oldest first. */
const maximumDepartures = 1000;

export function isSameInstance(left: Omit<TargetInstance, 'id'>, right: Omit<TargetInstance, 'id'>): boolean {
	return left.startedAt === right.startedAt && left.address === right.address;
}

/** Whether two orders of a service, of which one may have been written again, ask for the same. */
export function isSameMove(left: Pick<VersionOrder, 'version' | 'durationMilliseconds'>, right: Pick<VersionOrder, 'version' | 'durationMilliseconds'>): boolean {
	return left.version === right.version && left.durationMilliseconds === right.durationMilliseconds;
}

/**
 * Adds the targets that are leaving in the next state, and those that went since the previous one.
 * @param previous a state of the same era; empty for its first one, because what is missing from a copy hasn't gone
 */
export function addDepartures(departed: ReadonlyMap<string, TargetInstance>, previous: readonly TrafficTarget[], next: readonly TrafficTarget[]): Map<string, TargetInstance> {
	const nextById = new Map(next.map(target => [target.id, target]));
	const gone = previous.filter(target => {
		const present = nextById.get(target.id);
		return !present || !isSameInstance(present, target);
	});
	const updated = new Map(departed);
	for (const {id, startedAt, address} of [...gone, ...next.filter(({isLeaving}) => isLeaving)]) {
		// A copy may also show an earlier run of the target.
		if (startedAt >= (updated.get(id)?.startedAt ?? startedAt)) {
			updated.delete(id);
			updated.set(id, {id, startedAt, address});
		}
	}

	return new Map([...updated].slice(-maximumDepartures));
}

/** Drops the departures of instances that are registered again and not leaving. */
export function dropReturned(departed: ReadonlyMap<string, TargetInstance>, targets: readonly TrafficTarget[]): Map<string, TargetInstance> {
	const remaining = new Map(departed);
	for (const target of targets) {
		const instance = remaining.get(target.id);
		if (instance && !target.isLeaving && isSameInstance(instance, target)) {
			remaining.delete(target.id);
		}
	}

	return remaining;
}

/** Returns the targets with those as leaving that had departed before the return, also in an earlier run than the last one that did. */
export function withholdDeparted(targets: readonly TrafficTarget[], {departed}: HeldState): TrafficTarget[] {
	return targets.map(target => {
		const instance = departed.get(target.id);
		const hasDeparted = instance !== undefined && (isSameInstance(instance, target) || target.startedAt < instance.startedAt);
		return hasDeparted ? {...target, isLeaving: true} : target;
	});
}

/** Adds what was known of the orders when the source came back. */
export function holdOrders(held: HeldState, previous: Orders, restoredRevision: number): HeldState {
	return {
		...held,
		evacuatedZones: new Set([...held.evacuatedZones, ...previous.evacuatedZones]),
		orders: new Map([...held.orders, ...previous.versions.map(order => [order.service, order] as const)]),
		restoredRevision,
	};
}

/** Drops what the orders say again or replace. */
export function releaseOrders(held: HeldState, {versions, evacuatedZones}: Orders): HeldState {
	const orders = new Map(held.orders);
	for (const order of versions) {
		if (!isWithheld(order, held)) {
			orders.delete(order.service);
		}
	}

	const seenZones = new Set(evacuatedZones);
	return {...held, orders, evacuatedZones: new Set([...held.evacuatedZones].filter(zone => !seenZones.has(zone)))};
}

/** Returns the orders to follow: also the evacuations of before, and no order that may be older than the one of before. */
export function withholdOrders<Next extends Orders>(next: Next, held: HeldState): Next {
	return {
		...next,
		versions: next.versions.filter(order => !isWithheld(order, held)),
		evacuatedZones: [...new Set([...next.evacuatedZones, ...held.evacuatedZones])],
	};
}

function isWithheld(order: VersionOrder, {orders, restoredRevision}: HeldState): boolean {
	const known = orders.get(order.service);
	return known !== undefined && !isSameMove(known, order) && order.revision <= restoredRevision;
}
