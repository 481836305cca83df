/**
 * The bytes that this node may let cross between regions, and the transfers
 * that wait for them: interactive ones first, with a minimum for bulk.
 */
import {assertInvariant} from '@catkindale/common';
import {
	type Link, type LinkAllocation, type LinkQuota, type RequestClass, createLinkQuota, emptyLinkAllocation, fillLinkQuota, getLinkDelay, getLinkAllocation, getLinkName,
	getNextLinkClass, isLinkOverAllocated, linkReadBytes, reduceLinkAllocation, chargeLinkBytes, releaseLinkBytes, reserveLinkBytes, setLinkAllocation, consumeLinkBytes,
} from '@catkindale/policy';
import type {LeaseClock} from './lease-clock.js';
import type {QuotaLease} from './quota-lease.js';
import type {AllocationBasis} from './request-quotas.js';

/** One body on its way over a link. Bytes are reserved, then cross. */
export type LinkTransfer = {
	/** Reserves the bytes as soon as there are tokens, perhaps at once; false if the transfer is closed before. */
	reserve: (bytes: number, onEnd: (isReserved: boolean) => void) => void;
	/** Bytes that are reserved and haven't crossed. */
	getReserved: () => number;
	/** Notes that reserved bytes have crossed. */
	consume: (bytes: number) => void;
	/** Gives back reserved bytes that won't cross. */
	release: (bytes: number) => void;
	/** Gives back what is left and ends the waiting. */
	close: () => void;
};

export type LinkQuotas = {
	/** Takes the links of a configuration; the floors follow by `lower` and `raise`. */
	setLinks: (links: readonly Link[]) => void;
	/** Lowers all floors to at most these shares. */
	reduceAllocations: (shares: AllocationBasis) => void;
	/** Raises the floors to the shares of the last call of `lower`, but for links with an overhang elsewhere. */
	increaseAllocations: (overhang: ReadonlySet<string>) => void;
	/** The links, as {@link getLinkOverAllocationName} names them, on which more is reserved than the floor. */
	getOverAllocations: () => Set<string>;
	isLimited: (link: string) => boolean;
	/** Whether a read could be reserved at once, or before all that wait. */
	hasCapacity: (link: string) => boolean;
	/** Begins a transfer; one over a link without a limit never waits. */
	openTransfer: (link: string, requestClass: RequestClass) => LinkTransfer;
	/** What this node may let cross now. */
	getUsableAllocation: (link: string) => LinkAllocation;
	getStates: () => LinkState[];
	tick: () => void;
	/** Ends the timers. */
	end: () => void;
};

/** What operators see of a link on this node. */
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
	/** Runs the function after so many milliseconds; returns how to call it off. */
	readonly schedule: (run: () => void, milliseconds: number) => () => void;
};

type LinkWaiter = {readonly class: RequestClass; readonly bytes: number; readonly onEnd: (isReserved: boolean) => void};

type LinkEntry = {
	link: Link;
	quota: LinkQuota;
	shares: AllocationBasis | undefined;
	isRaised: boolean;
	/** The link isn't in the configuration any more; what still crosses it isn't counted. */
	isUnlimited: boolean;
	readonly waiters: Record<RequestClass, LinkWaiter[]>;
	readonly crossed: Record<RequestClass, number>;
	/** Bytes reserved for interactive requests in succession while bulk ones waited. */
	interactiveBytes: number;
	callOffWake: (() => void) | undefined;
};

const leastWakeMilliseconds = 1;
const longestWakeMilliseconds = 250;

/** Links and targets share one list of overhangs; no target has such a name. */
export function getLinkOverAllocationName(link: string): string {
	return `link ${link}`;
}

export function createLinkQuotas({clock, lease, schedule}: LinkQuotasOptions): LinkQuotas {
	const entries = new Map<string, LinkEntry>();
	let known = new Set<string>();
	let isEnded = false;
	const unlimited: LinkEntry = {...createEntry({from: '', to: '', bytesPerSecond: Infinity}, clock.monotonic()), isUnlimited: true};

	const fill = (entry: LinkEntry): void => {
		entry.quota = fillLinkQuota(entry.quota, clock.monotonic());
	};

	const reserveNow = (entry: LinkEntry, bytes: number): boolean => {
		if (entry.isUnlimited) {
			return true;
		}

		if (!lease.isValid()) {
			return false;
		}

		fill(entry);
		const reserved = reserveLinkBytes(entry.quota, bytes);
		entry.quota = reserved ?? entry.quota;
		return reserved !== undefined;
	};

	const getNextWaiter = ({waiters, interactiveBytes}: LinkEntry): LinkWaiter | undefined => {
		const next = getNextLinkClass({interactive: waiters.interactive[0]?.bytes, bulk: waiters.bulk[0]?.bytes}, interactiveBytes);
		return next && waiters[next][0];
	};

	const serve = (entry: LinkEntry): void => {
		callOffWake(entry);
		let next = getNextWaiter(entry);
		while (next && reserveNow(entry, next.bytes)) {
			entry.waiters[next.class].shift();
			const isPassingBulk = next.class === 'interactive' && entry.waiters.bulk.length > 0;
			entry.interactiveBytes = isPassingBulk ? entry.interactiveBytes + next.bytes : 0;
			next.onEnd(true);
			next = getNextWaiter(entry);
		}

		if (next && !isEnded) {
			const delay = Math.min(longestWakeMilliseconds, Math.max(leastWakeMilliseconds, getLinkDelay(entry.quota, next.bytes)));
			callOffWake(entry);
			entry.callOffWake = schedule(() => {
				serve(entry);
			}, delay);
		}
	};

	const countWaiters = ({waiters}: LinkEntry): number => waiters.interactive.length + waiters.bulk.length;

	const wait = (entry: LinkEntry, waiter: LinkWaiter): void => {
		entry.waiters[waiter.class].push(waiter);
		serve(entry);
	};

	const open = (entry: LinkEntry, requestClass: RequestClass): LinkTransfer => {
		let reserved = 0;
		let waiter: LinkWaiter | undefined;
		let isClosed = false;
		const release = (bytes: number): void => {
			reserved -= bytes;
			if (bytes > 0 && !entry.isUnlimited) {
				entry.quota = releaseLinkBytes(entry.quota, bytes, clock.monotonic());
				serve(entry);
			}
		};

		return {
			getReserved: () => reserved,
			reserve(bytes, onEnd) {
				assertInvariant(!waiter, 'a transfer waits for one reservation at a time');
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
				wait(entry, waiter);
			},
			consume(bytes) {
				const covered = Math.min(bytes, reserved);
				reserved -= covered;
				entry.crossed[requestClass] += bytes;
				if (!entry.isUnlimited) {
					entry.quota = chargeLinkBytes(consumeLinkBytes(entry.quota, covered, clock.monotonic()), bytes - covered);
				}
			},
			release,
			close() {
				isClosed = true;
				entry.waiters[requestClass] = entry.waiters[requestClass].filter(other => other !== waiter);
				waiter?.onEnd(false);
				release(reserved);
			},
		};
	};

	return {
		setLinks(links) {
			known = new Set(links.map(link => getLinkName(link)));
			for (const link of links) {
				const entry = entries.get(getLinkName(link));
				if (entry) {
					entry.link = link;
				} else {
					entries.set(getLinkName(link), createEntry(link, clock.monotonic()));
				}
			}
		},
		reduceAllocations(shares) {
			const now = clock.monotonic();
			for (const [name, entry] of entries) {
				const floor = known.has(name) ? getLinkAllocation(entry.link, shares.incarnation, shares.members) : emptyLinkAllocation;
				entry.shares = shares;
				entry.isRaised = false;
				entry.quota = reduceLinkAllocation(entry.quota, floor, now);
			}
		},
		increaseAllocations(overhang) {
			for (const [name, entry] of entries) {
				const {shares, quota} = entry;
				if (!known.has(name)) {
					entry.isUnlimited = true;
					entries.delete(name);
					serve(entry);
				} else if (shares && !entry.isRaised && !overhang.has(getLinkOverAllocationName(name))) {
					entry.isRaised = true;
					entry.quota = setLinkAllocation(quota, getLinkAllocation(entry.link, shares.incarnation, shares.members), clock.monotonic());
					serve(entry);
				}
			}
		},
		getOverAllocations() {
			const beyond = [...entries].filter(([, {quota}]) => isLinkOverAllocated(quota));
			return new Set(beyond.map(([name]) => getLinkOverAllocationName(name)));
		},
		isLimited: link => entries.has(link),
		hasCapacity(link) {
			const entry = entries.get(link);
			if (!entry) {
				return true;
			}

			fill(entry);
			const {waiters, quota} = entry;
			// Interactive bodies overtake bulk ones, so that those close no region.
			const hasRoom = waiters.bulk.length > 0 || quota.tokens >= linkReadBytes;
			return lease.isValid() && waiters.interactive.length === 0 && hasRoom;
		},
		openTransfer: (link, requestClass) => open(entries.get(link) ?? unlimited, requestClass),
		getUsableAllocation(link) {
			const floor = entries.get(link)?.quota.allocation;
			return floor && lease.isValid() ? floor : emptyLinkAllocation;
		},
		getStates: () => [...entries.values()].map(entry => ({
			from: entry.link.from, to: entry.link.to, allocation: entry.quota.allocation, waitingTransfers: countWaiters(entry), transferredBytes: entry.crossed,
		})),
		tick() {
			for (const entry of entries.values()) {
				serve(entry);
			}
		},
		end() {
			isEnded = true;
			for (const entry of entries.values()) {
				callOffWake(entry);
			}
		},
	};
}

function callOffWake(entry: LinkEntry): void {
	entry.callOffWake?.();
	entry.callOffWake = undefined;
}

function createEntry(link: Link, now: number): LinkEntry {
	return {
		link,
		quota: createLinkQuota(now),
		shares: undefined,
		isRaised: false,
		isUnlimited: false,
		waiters: {interactive: [], bulk: []},
		crossed: {interactive: 0, bulk: 0},
		interactiveBytes: 0,
		callOffWake: undefined,
	};
}
