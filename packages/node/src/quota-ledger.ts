/**
 * Keeps this node's allocations consistent with the ledger. At a new position
 * it reduces the allocations and then reports the position to the members.
 * Once all of them report the same position, it increases the allocations. It
 * doesn't access the table.
 */
import type {MessageBus} from '@catkindale/kernel';
import {
	type QuotaMember, type Ledger, type LedgerPosition, type LedgerView, type VersionedConfiguration,
	confirmMembership, createLedgerView, getLeaseRenewedAt, getEchoTime, getQuotaMembers, getLedgerPosition, getOverAllocations, isLive, isLiveMember,
	isSlotIncreaseAllowed, isTokenIncreaseAllowed, renewIncarnation, resumeView, updateLedger, updatePeer, updateVersion,
} from '@catkindale/policy';
import type {LedgerReportMessage} from '@catkindale/protocol';
import type {LeaseClock} from './lease-clock.js';
import type {LinkQuotas} from './link-quotas.js';
import type {NodeMessage} from './node-messages.js';
import type {QuotaLease} from './quota-lease.js';
import type {RequestQuotas} from './request-quotas.js';
import type {SlotQuotas} from './slot-quotas.js';

export type QuotaLedgerOptions = {
	readonly ownId: string;
	readonly incarnation: string;
	readonly clock: LeaseClock;
	readonly bus: MessageBus<NodeMessage>;
	readonly lease: QuotaLease;
	readonly requests: RequestQuotas;
	readonly slots: SlotQuotas;
	readonly links: LinkQuotas;
	readonly pauseLimitMilliseconds: number;
};

export type QuotaLedger = {
	readonly getView: () => LedgerView;
	/** Applies a committed row. `readAt` is the pause-adjusted time at which its read began, undefined if a peer sent it. */
	applyLedger: (ledger: Ledger, readAt: number | undefined) => void;
	/**
	 * Called more than once per heartbeat: detects pauses, renews the lease and
	 * reports a new position at once. Otherwise it reports only if `shouldReport`.
	 */
	tick: (shouldReport: boolean) => void;
	/** Gives up all allocations. Returns whether nothing remains lent or in use. */
	stop: () => boolean;
	/** Starts and returns a new incarnation after the current one was fenced. */
	startNewIncarnation: () => string;
	end: () => void;
};

export function createQuotaLedger(options: QuotaLedgerOptions): QuotaLedger {
	const {bus, clock, lease, requests, slots, links, ownId} = options;
	let view = createLedgerView(options.incarnation);
	let quotaMembers: readonly QuotaMember[] = [];
	let reported: LedgerPosition = {epoch: 0, version: 0};
	let lastTickAt = clock.pauseAdjusted();
	let incarnationCount = 1;
	let isStopped = false;

	/** Detects a pause since the last tick; called before any other work. */
	const checkPause = (): void => {
		const now = clock.pauseAdjusted();
		if (now - lastTickAt > options.pauseLimitMilliseconds) {
			lease.invalidate();
			view = resumeView(view, now, clock.monotonic());
		}

		lastTickAt = now;
	};

	const renewLease = (): void => {
		const now = clock.pauseAdjusted();
		view = confirmMembership(view, now);
		if (view.resumedAt === undefined && isLiveMember(view) && !isStopped) {
			lease.renew(getLeaseRenewedAt(view, now));
		}
	};

	const reduceAllocations = (): void => {
		const basis = {incarnation: view.incarnation, members: isStopped ? [] : quotaMembers};
		requests.reduceAllocations(basis);
		slots.reduceAllocations(basis);
		links.reduceAllocations(basis);
	};

	const increaseAllocations = (): void => {
		if (isStopped) {
			return;
		}

		if (isTokenIncreaseAllowed(view)) {
			requests.increaseAllocations();
		}

		if (isSlotIncreaseAllowed(view)) {
			slots.increaseAllocations(getOverAllocations(view));
			links.increaseAllocations(getOverAllocations(view));
		}
	};

	const sendReports = (): void => {
		// Token loans beyond the reduced allocations end within seconds; until then the previous position is reported.
		if (!requests.isOverAllocated()) {
			reported = getLedgerPosition(view);
		}

		const overAllocations = [...slots.getOverAllocations(), ...links.getOverAllocations()];
		for (const member of view.ledger.members) {
			if (member.id === ownId) {
				continue;
			}

			const echoedAt = getEchoTime(view, member);
			const message: LedgerReportMessage = {
				type: 'ledger-report',
				incarnation: view.incarnation,
				...reported,
				overhang: overAllocations,
				// Rounded down: a lease that starts at this time may be shorter, but never longer.
				sentAt: Math.floor(clock.pauseAdjusted()),
				...(echoedAt !== undefined && {echoedAt, echoedIncarnation: member.incarnation}),
			};
			bus.publish({type: 'peer-send', to: member.id, message});
		}
	};

	/** Whether the last report had the position that this node has applied. */
	const isReportedCurrent = (): boolean => {
		const position = getLedgerPosition(view);
		return reported.epoch === position.epoch && reported.version === position.version;
	};

	const receiveReport = (message: LedgerReportMessage): void => {
		const isEchoToThisIncarnation = message.echoedIncarnation === view.incarnation;
		view = updatePeer(view, {
			incarnation: message.incarnation,
			position: {epoch: message.epoch, version: message.version},
			overAllocations: message.overhang,
			sentAt: message.sentAt,
			echoedAt: isEchoToThisIncarnation ? message.echoedAt : undefined,
		}, clock.monotonic());
		renewLease();
		increaseAllocations();
	};

	/** Starts a new incarnation without allocations; those of the old one remain with it. */
	const startNewIncarnation = (): string => {
		incarnationCount += 1;
		view = renewIncarnation(view, `${options.incarnation}~${incarnationCount}`);
		lease.invalidate();
		requests.reduceAllocations({incarnation: view.incarnation, members: []});
		slots.reduceAllocations({incarnation: view.incarnation, members: []});
		links.reduceAllocations({incarnation: view.incarnation, members: []});
		return view.incarnation;
	};

	const applyLedger = (ledger: Ledger, readAt: number | undefined): void => {
		checkPause();
		const {epoch} = view.ledger;
		const wasLive = isLiveMember(view);
		view = updateLedger(view, ledger, readAt ?? Number.NEGATIVE_INFINITY, clock.monotonic());
		renewLease();
		if (view.ledger.epoch === epoch) {
			return;
		}

		if (wasLive && !isLiveMember(view)) {
			startNewIncarnation();
		}

		quotaMembers = getQuotaMembers(view.ledger);
		reduceAllocations();
		sendReports();
		increaseAllocations();
		publishMembers(bus, view.ledger);
	};

	const applyConfiguration = ({version, configuration}: VersionedConfiguration): void => {
		view = updateVersion(view, version);
		requests.setCustomers(configuration.customers);
		slots.setTargets(configuration.targets, Math.max(0, ...configuration.routes.map(route => route.deadlineMilliseconds)));
		links.setLinks(configuration.links);
		reduceAllocations();
		sendReports();
		increaseAllocations();
	};

	const unsubscribers = [
		bus.subscribe('configuration-changed', applyConfiguration),
		bus.subscribe('peer-connected', ({id}) => {
			if (view.ledger.epoch > 0) {
				bus.publish({type: 'peer-send', to: id, message: {type: 'ledger-row', ledger: view.ledger}});
				sendReports();
			}
		}),
		bus.subscribe('peer-received', ({message}) => {
			checkPause();
			if (message.type === 'ledger-report') {
				receiveReport(message);
			} else if (message.type === 'ledger-row') {
				applyLedger(message.ledger, undefined);
			}
		}),
	];

	return {
		getView: () => view,
		applyLedger,
		tick(shouldReport) {
			checkPause();
			renewLease();
			requests.tick();
			slots.tick();
			links.tick();
			increaseAllocations();
			if (shouldReport || (!isReportedCurrent() && !requests.isOverAllocated())) {
				sendReports();
			}
		},
		stop() {
			isStopped = true;
			lease.invalidate();
			reduceAllocations();
			return !requests.isOverAllocated() && slots.getOverAllocations().size === 0 && links.getOverAllocations().size === 0;
		},
		startNewIncarnation,
		end() {
			for (const unsubscribe of unsubscribers) {
				unsubscribe();
			}
		},
	};
}

/** Publishes the live members without the ledger's suffix to their incarnation. */
function publishMembers(bus: MessageBus<NodeMessage>, ledger: Ledger): void {
	const live = ledger.members.filter(member => isLive(member));
	const members = live.map(({standing, ...member}) => ({...member, incarnation: member.incarnation.split('~', 1)[0] ?? ''}));
	bus.publish({type: 'membership-changed', members});
}
