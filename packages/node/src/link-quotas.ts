/**
 * Limits the bytes that this node transfers between regions and queues the
 * transfers that wait for quota: interactive ones first, with a guaranteed
 * minimum for bulk ones.
 */
import {assertInvariant} from '@catkindale/common';
import {
	type Link, type LinkAllocation, type LinkQuota, type RequestClass, createLinkQuota, emptyLinkAllocation, fillLinkQuota, getLinkDelay, getLinkAllocation, getLinkName,
	getNextLinkClass, isLinkOverAllocated, maximumLinkReadBytes, reduceLinkAllocation, chargeLinkBytes, releaseLinkBytes, reserveLinkBytes, setLinkAllocation, consumeLinkBytes,
} from '@catkindale/policy';
import type {LeaseClock} from './lease-clock.js';
import type {QuotaLease} from './quota-lease.js';
import type {AllocationBasis} from './request-quotas.js';

/** The transfer of one body over a link. Bytes are reserved first and then consumed. */
export type LinkTransfer = {
	/** Reserves the bytes as soon as there are tokens, possibly at once. Calls `onEnd` with false if the transfer is closed first. */
	reserve: (bytes: number, onEnd: (isReserved: boolean) => void) => void;
	/** Returns the bytes that are reserved and not yet consumed. */
	getReserved: () => number;
	/** Records that bytes were transferred; bytes beyond the reservation are charged to the quota. */
	consume: (bytes: number) => void;
	/** Releases reserved bytes that won't be transferred. */
	release: (bytes: number) => void;
	/** Releases the remaining reservation and stops waiting for another. */
	close: () => void;
};

export type LinkQuotas = {
	/** Applies the links of a configuration. Their allocations change only by `reduceAllocations` and `increaseAllocations`. */
	setLinks: (links: readonly Link[]) => void;
	/** Reduces all allocations to at most those of this basis. */
	reduceAllocations: (basis: AllocationBasis) => void;
	/** Increases the allocations to those of the basis last passed to `reduceAllocations`, except for links that another member over-allocates. */
	increaseAllocations: (overAllocations: ReadonlySet<string>) => void;
	/** Returns the links on which more is reserved than allocated, as named by {@link getLinkOverAllocationName}. */
	getOverAllocations: () => Set<string>;
	isLimited: (link: string) => boolean;
	/** Whether an interactive transfer could reserve the bytes of a read at once, or ahead of all that wait. */
	hasCapacity: (link: string) => boolean;
	/** Opens a transfer; over a link without a limit it never waits. */
	openTransfer: (link: string, requestClass: RequestClass) => LinkTransfer;
	/** The allocation that this node may use at present; empty without a valid lease. */
	getUsableAllocation: (link: string) => LinkAllocation;
	getStates: () => LinkState[];
	tick: () => void;
	/** Stops the timers. */
	end: () => void;
};

/** The state of a link at this node, as exported by the metrics. */
export type LinkState = {
	readonly from: string;
	readonly to: string;
	readonly allocation: LinkAllocation;
	readonly waitingTransfers: number;
	readonly transferredBytes: Readonly<Record<RequestClass, number>>;
};

export type LinkQuotasOptions = {
	readonly clock: LeaseClock;
	readonly lease: QuotaLease;
	/** Runs the function after the given time; returns a function that cancels it. */
	readonly schedule: (run: () => void, milliseconds: number) => () => void;
};

type LinkWaiter = {readonly class: RequestClass; readonly bytes: number; readonly onEnd: (isReserved: boolean) => void};

type TrackedLink = {
	link: Link;
	quota: LinkQuota;
	basis: AllocationBasis | undefined;
	isIncreaseApplied: boolean;
	/** The link is no longer configured; transfers that still use it aren't limited. */
	isUnlimited: boolean;
	readonly waiters: Record<RequestClass, LinkWaiter[]>;
	readonly transferredBytes: Record<RequestClass, number>;
	/** Bytes reserved for consecutive interactive requests while bulk ones waited. */
	interactiveBytesSinceBulk: number;
	cancelWake: (() => void) | undefined;
};

const minimumWakeMilliseconds = 1;
const maximumWakeMilliseconds = 250;

/** Links and targets are reported in one list of over-allocations; no target has a name of this form. */
export function getLinkOverAllocationName(link: string): string {
	return `link ${link}`;
}

export function createLinkQuotas({clock, lease, schedule}: LinkQuotasOptions): LinkQuotas {
	const trackedLinks = new Map<string, TrackedLink>();
	let configuredLinks = new Set<string>();
	let isEnded = false;
	const unlimited: TrackedLink = {...createTrackedLink({from: '', to: '', bytesPerSecond: Infinity}, clock.monotonic()), isUnlimited: true};

	const fill = (tracked: TrackedLink): void => {
		tracked.quota = fillLinkQuota(tracked.quota, clock.monotonic());
	};

	const tryReserve = (tracked: TrackedLink, bytes: number): boolean => {
		if (tracked.isUnlimited) {
			return true;
		}

		if (!lease.isValid()) {
			return false;
		}

		fill(tracked);
		const reserved = reserveLinkBytes(tracked.quota, bytes);
		tracked.quota = reserved ?? tracked.quota;
		return reserved !== undefined;
	};

	const getNextWaiter = ({waiters, interactiveBytesSinceBulk}: TrackedLink): LinkWaiter | undefined => {
		const next = getNextLinkClass({interactive: waiters.interactive[0]?.bytes, bulk: waiters.bulk[0]?.bytes}, interactiveBytesSinceBulk);
		return next && waiters[next][0];
	};

	const serveWaiters = (tracked: TrackedLink): void => {
		cancelWake(tracked);
		let next = getNextWaiter(tracked);
		while (next && tryReserve(tracked, next.bytes)) {
			tracked.waiters[next.class].shift();
			const isOvertakingBulk = next.class === 'interactive' && tracked.waiters.bulk.length > 0;
			tracked.interactiveBytesSinceBulk = isOvertakingBulk ? tracked.interactiveBytesSinceBulk + next.bytes : 0;
			next.onEnd(true);
			next = getNextWaiter(tracked);
		}

		if (next && !isEnded) {
			const delay = Math.min(maximumWakeMilliseconds, Math.max(minimumWakeMilliseconds, getLinkDelay(tracked.quota, next.bytes)));
			cancelWake(tracked);
			tracked.cancelWake = schedule(() => {
				serveWaiters(tracked);
			}, delay);
		}
	};

	const countWaiters = ({waiters}: TrackedLink): number => waiters.interactive.length + waiters.bulk.length;

	const enqueue = (tracked: TrackedLink, waiter: LinkWaiter): void => {
		tracked.waiters[waiter.class].push(waiter);
		serveWaiters(tracked);
	};

	const openTransferOn = (tracked: TrackedLink, requestClass: RequestClass): LinkTransfer => {
		let reserved = 0;
		let waiter: LinkWaiter | undefined;
		let isClosed = false;
		const release = (bytes: number): void => {
			reserved -= bytes;
			if (bytes > 0 && !tracked.isUnlimited) {
				tracked.quota = releaseLinkBytes(tracked.quota, bytes, clock.monotonic());
				serveWaiters(tracked);
			}
		};

		return {
			getReserved: () => reserved,
			reserve(bytes, onEnd) {
				assertInvariant(!waiter, 'a transfer may wait for only one reservation at a time');
				if (isClosed) {
					onEnd(false);
					return;
				}

				waiter = {
					class: requestClass,
					bytes,
					onEnd(isReserved) {
						waiter = undefined;
						reserved += isReserved ? bytes : 0;
						onEnd(isReserved);
					},
				};
				enqueue(tracked, waiter);
			},
			consume(bytes) {
				const coveredBytes = Math.min(bytes, reserved);
				reserved -= coveredBytes;
				tracked.transferredBytes[requestClass] += bytes;
				if (!tracked.isUnlimited) {
					tracked.quota = chargeLinkBytes(consumeLinkBytes(tracked.quota, coveredBytes, clock.monotonic()), bytes - coveredBytes);
				}
			},
			release,
			close() {
				isClosed = true;
				tracked.waiters[requestClass] = tracked.waiters[requestClass].filter(other => other !== waiter);
				waiter?.onEnd(false);
				release(reserved);
			},
		};
	};

	return {
		setLinks(links) {
			configuredLinks = new Set(links.map(link => getLinkName(link)));
			for (const link of links) {
				const tracked = trackedLinks.get(getLinkName(link));
				if (tracked) {
					tracked.link = link;
				} else {
					trackedLinks.set(getLinkName(link), createTrackedLink(link, clock.monotonic()));
				}
			}
		},
		reduceAllocations(basis) {
			const now = clock.monotonic();
			for (const [name, tracked] of trackedLinks) {
				const allocation = configuredLinks.has(name) ? getLinkAllocation(tracked.link, basis.incarnation, basis.members) : emptyLinkAllocation;
				tracked.basis = basis;
				tracked.isIncreaseApplied = false;
				tracked.quota = reduceLinkAllocation(tracked.quota, allocation, now);
			}
		},
		increaseAllocations(overAllocations) {
			for (const [name, tracked] of trackedLinks) {
				const {basis, quota} = tracked;
				if (!configuredLinks.has(name)) {
					tracked.isUnlimited = true;
					trackedLinks.delete(name);
					serveWaiters(tracked);
				} else if (basis && !tracked.isIncreaseApplied && !overAllocations.has(getLinkOverAllocationName(name))) {
					tracked.isIncreaseApplied = true;
					tracked.quota = setLinkAllocation(quota, getLinkAllocation(tracked.link, basis.incarnation, basis.members), clock.monotonic());
					serveWaiters(tracked);
				}
			}
		},
		getOverAllocations() {
			const overAllocated = [...trackedLinks].filter(([, {quota}]) => isLinkOverAllocated(quota));
			return new Set(overAllocated.map(([name]) => getLinkOverAllocationName(name)));
		},
		isLimited: link => trackedLinks.has(link),
		hasCapacity(link) {
			const tracked = trackedLinks.get(link);
			if (!tracked) {
				return true;
			}

			fill(tracked);
			const {waiters, quota} = tracked;
			// Interactive bodies overtake bulk ones, so waiting bulk bodies don't make the region unavailable.
			const hasTokens = waiters.bulk.length > 0 || quota.tokens >= maximumLinkReadBytes;
			return lease.isValid() && waiters.interactive.length === 0 && hasTokens;
		},
		openTransfer: (link, requestClass) => openTransferOn(trackedLinks.get(link) ?? unlimited, requestClass),
		getUsableAllocation(link) {
			const allocation = trackedLinks.get(link)?.quota.allocation;
			return allocation && lease.isValid() ? allocation : emptyLinkAllocation;
		},
		getStates: () => [...trackedLinks.values()].map(tracked => ({
			from: tracked.link.from, to: tracked.link.to, allocation: tracked.quota.allocation, waitingTransfers: countWaiters(tracked), transferredBytes: tracked.transferredBytes,
		})),
		tick() {
			for (const tracked of trackedLinks.values()) {
				serveWaiters(tracked);
			}
		},
		end() {
			isEnded = true;
			for (const tracked of trackedLinks.values()) {
				cancelWake(tracked);
			}
		},
	};
}

function cancelWake(tracked: TrackedLink): void {
	tracked.cancelWake?.();
	tracked.cancelWake = undefined;
}

function createTrackedLink(link: Link, now: number): TrackedLink {
	return {
		link,
		quota: createLinkQuota(now),
		basis: undefined,
		isIncreaseApplied: false,
		isUnlimited: false,
		waiters: {interactive: [], bulk: []},
		transferredBytes: {interactive: 0, bulk: 0},
		interactiveBytesSinceBulk: 0,
		cancelWake: undefined,
	};
}
