/**
 * What this gateway follows while its traffic source has just come back from a
 * copy of its rows: for a time, of what was known before and what the copy says,
 * the more restrictive one. A restriction that is held wrongly costs capacity for
 * some seconds; one that is lifted wrongly breaks a promise to the operator or a target.
 */
import {Gauge, type Registry} from 'prom-client';
import type {Clock, LogFields, Logger} from '@catkindale/common';
import {
	type HeldState, addDepartures, dropReturned, emptyHeldState, holdOrders, noRevision, releaseOrders, withholdDeparted, withholdOrders,
} from '@catkindale/policy';
import type {HeldStateMessage, RegisteredTargets, TrafficOrders} from '@catkindale/protocol';

export type SourceRestoration = {
	/** Records the orders that were received and returns those to follow. */
	receiveOrders: (orders: TrafficOrders) => TrafficOrders;
	/** Records the targets that were received and returns those to follow. */
	receiveTargets: (targets: RegisteredTargets) => RegisteredTargets;
	getHeld: () => HeldStateMessage;
	/** Adds what a peer holds; called before its orders and targets are received. */
	addHeld: (held: HeldStateMessage) => void;
	stop: () => void;
};

export type SourceRestorationOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Registry;
	/** Called when orders or targets of a later era were received first. */
	readonly onRestored: (era: number) => void;
	/** Called at the end of the hold with what was received last. */
	readonly onReleased: (latest: {readonly orders: TrafficOrders | undefined; readonly targets: RegisteredTargets | undefined}) => void;
};

/** The operator and the targets write again what is missing from the copy within this time after the return. */
const holdMilliseconds = 10_000;

export function createSourceRestoration({clock, logger, metrics, onRestored, onReleased}: SourceRestorationOptions): SourceRestoration {
	let held: HeldState = emptyHeldState;
	let orders: TrafficOrders | undefined;
	let followedOrders: TrafficOrders | undefined;
	let targets: RegisteredTargets | undefined;
	let era: number | undefined;
	/** Monotonic time of the latest return, until orders and targets are of its era. */
	let restoredAt: number | undefined;
	/** Monotonic time at which the hold ends; undefined without one. */
	let heldUntil: number | undefined;
	let timer: NodeJS.Timeout | undefined;
	const eraGauge = new Gauge({name: 'catkindale_source_era', help: 'Latest era of the traffic source that this node follows', registers: [metrics]});
	const holdGauge = new Gauge({name: 'catkindale_source_restoration', help: 'Whether this node holds what it knew before its traffic source came back from a copy', registers: [metrics]});

	const describeHeld = (): LogFields => ({departed: held.departed.size, evacuated: [...held.evacuatedZones].join(','), orders: [...held.orders.keys()].join(',')});

	const release = (): void => {
		logger.info('restoration_ended', {era, ...describeHeld()});
		held = {...emptyHeldState, departed: dropReturned(held.departed, targets?.targets ?? [])};
		heldUntil = undefined;
		holdGauge.set(0);
		followedOrders = orders;
		onReleased({orders, targets});
	};

	const holdFor = (milliseconds: number): void => {
		clearTimeout(timer);
		heldUntil = clock.monotonic() + milliseconds;
		holdGauge.set(1);
		timer = setTimeout(release, milliseconds);
	};

	const receiveEra = (next: number): void => {
		const previous = era;
		if (previous !== undefined && next <= previous) {
			return;
		}

		era = next;
		eraGauge.set(next);
		if (!isNamed(previous)) {
			return;
		}

		restoredAt = clock.monotonic();
		holdFor(holdMilliseconds);
		logger.info('restoration_started', {era, previous});
		onRestored(era);
	};

	const reportCurrent = (): void => {
		if (restoredAt !== undefined && orders?.era === era && targets?.era === era) {
			logger.info('restoration_current', {
				era, revisions: `orders:${orders?.revision},targets:${targets?.revision}`, milliseconds: Math.round(clock.monotonic() - restoredAt), ...describeHeld(),
			});
			restoredAt = undefined;
		}
	};

	return {
		receiveOrders(next) {
			if (followedOrders && isNamed(followedOrders.era) && next.era > followedOrders.era) {
				held = holdOrders(held, followedOrders, next.revision);
			}

			receiveEra(next.era);
			orders = next;
			held = releaseOrders(held, next);
			followedOrders = heldUntil === undefined ? next : withholdOrders(next, held);
			reportCurrent();
			return followedOrders;
		},
		receiveTargets(next) {
			receiveEra(next.era);
			const previous = targets?.era === next.era ? targets.targets : [];
			const departed = heldUntil === undefined ? dropReturned(held.departed, next.targets) : held.departed;
			held = {...held, departed: addDepartures(departed, previous, next.targets)};
			targets = next;
			reportCurrent();
			return heldUntil === undefined ? next : {...next, targets: withholdDeparted(next.targets, held)};
		},
		getHeld: () => ({
			departed: [...held.departed.values()],
			evacuatedZones: [...held.evacuatedZones],
			orders: [...held.orders.values()],
			restoredRevision: held.restoredRevision,
			remainingMilliseconds: Math.max(0, (heldUntil ?? 0) - clock.monotonic()),
		}),
		addHeld({departed, evacuatedZones, orders: versions, restoredRevision, remainingMilliseconds}) {
			held = {...held, departed: new Map([...held.departed, ...departed.map(instance => [instance.id, instance] as const)])};
			if (remainingMilliseconds > 0 && heldUntil === undefined) {
				held = holdOrders(held, {versions, evacuatedZones}, restoredRevision);
				holdFor(Math.min(remainingMilliseconds, holdMilliseconds));
			}
		},
		stop() {
			clearTimeout(timer);
		},
	};
}

/** Whether the source named an era. That it begins to, as when a peer of an older build is replaced, is no return. */
function isNamed(era: number | undefined): era is number {
	return era !== undefined && era !== noRevision.era;
}
