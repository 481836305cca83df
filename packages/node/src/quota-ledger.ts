/**
 * Keeps this node's floors in step with the ledger. On a new mark it lowers
 * the floors, then reports the mark to the members; once all of them report
 * the same mark it raises the floors. It performs no calls of the table.
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
	/** Takes a committed row; `readAt` is the own time when its read began, undefined if a peer sent it. */
	applyLedger: (ledger: Ledger, readAt: number | undefined) => void;
	/**
	 * Called more often than once per heartbeat: finds pauses, renews the lease
	 * and tells the members news at once; without news only if a report is due.
	 */
	tick: (isReportDue: boolean) => void;
	/** Holds nothing from now on; whether nothing is lent or in use any more. */
	stop: () => boolean;
	/** Takes up a new incarnation after this one was fenced. */
	startNewIncarnation: () => string;
	end: () => void;
};

export function createQuotaLedger(options: QuotaLedgerOptions): QuotaLedger {
	const {bus, clock, lease, requests, slots, links, ownId} = options;
	let view = createLedgerView(options.incarnation);
	let holders: readonly QuotaMember[] = [];
	let reported: LedgerPosition = {epoch: 0, version: 0};
	let tickedAt = clock.pauseAdjusted();
	let terms = 1;
	let isStopped = false;

	/** Finds a pause since the last tick before anything else is done. */
	const checkPause = (): void => {
		const now = clock.pauseAdjusted();
		if (now - tickedAt > options.pauseLimitMilliseconds) {
			lease.invalidate();
			view = resumeView(view, now, clock.monotonic());
		}

		tickedAt = now;
	};

	const renewLease = (): void => {
		const now = clock.pauseAdjusted();
		view = confirmMembership(view, now);
		if (view.resumedAt === undefined && isLiveMember(view) && !isStopped) {
			lease.renew(getLeaseRenewedAt(view, now));
		}
	};

	const lower = (): void => {
		const shares = {incarnation: view.incarnation, members: isStopped ? [] : holders};
		requests.reduceAllocations(shares);
		slots.reduceAllocations(shares);
		links.reduceAllocations(shares);
	};

	const raise = (): void => {
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

	const report = (): void => {
		// Loans that the lowered floors don't cover end within seconds; until then the older mark stands.
		if (!requests.isOverAllocated()) {
			reported = getLedgerPosition(view);
		}

		const overhang = [...slots.getOverAllocations(), ...links.getOverAllocations()];
		for (const member of view.ledger.members) {
			if (member.id === ownId) {
				continue;
			}

			const echoedAt = getEchoTime(view, member);
			const message: LedgerReportMessage = {
				type: 'ledger-report',
				incarnation: view.incarnation,
				...reported,
				overhang,
				// Rounded down, which makes a lease that counts from it shorter and never longer.
				sentAt: Math.floor(clock.pauseAdjusted()),
				...(echoedAt !== undefined && {echoedAt, echoedIncarnation: member.incarnation}),
			};
			bus.publish({type: 'peer-send', to: member.id, message});
		}
	};

	/** Whether the members have been told the mark that this node acts on. */
	const isReportedCurrent = (): boolean => {
		const mark = getLedgerPosition(view);
		return reported.epoch === mark.epoch && reported.version === mark.version;
	};

	const receive = (message: LedgerReportMessage): void => {
		const isEchoOfThis = message.echoedIncarnation === view.incarnation;
		view = updatePeer(view, {
			incarnation: message.incarnation,
			position: {epoch: message.epoch, version: message.version},
			overAllocations: message.overhang,
			sentAt: message.sentAt,
			echoedAt: isEchoOfThis ? message.echoedAt : undefined,
		}, clock.monotonic());
		renewLease();
		raise();
	};

	/** Takes up a new incarnation; what the old one held stays with that one. */
	const renew = (): string => {
		terms += 1;
		view = renewIncarnation(view, `${options.incarnation}~${terms}`);
		lease.invalidate();
		requests.reduceAllocations({incarnation: view.incarnation, members: []});
		slots.reduceAllocations({incarnation: view.incarnation, members: []});
		links.reduceAllocations({incarnation: view.incarnation, members: []});
		return view.incarnation;
	};

	const setLedger = (ledger: Ledger, readAt: number | undefined): void => {
		checkPause();
		const {epoch} = view.ledger;
		const wasLive = isLiveMember(view);
		view = updateLedger(view, ledger, readAt ?? Number.NEGATIVE_INFINITY, clock.monotonic());
		renewLease();
		if (view.ledger.epoch === epoch) {
			return;
		}

		if (wasLive && !isLiveMember(view)) {
			renew();
		}

		holders = getQuotaMembers(view.ledger);
		lower();
		report();
		raise();
		publishMembers(bus, view.ledger);
	};

	const setConfiguration = ({version, configuration}: VersionedConfiguration): void => {
		view = updateVersion(view, version);
		requests.setCustomers(configuration.customers);
		slots.setTargets(configuration.targets, Math.max(0, ...configuration.routes.map(route => route.deadlineMilliseconds)));
		links.setLinks(configuration.links);
		lower();
		report();
		raise();
	};

	const endings = [
		bus.subscribe('configuration-changed', setConfiguration),
		bus.subscribe('peer-connected', ({id}) => {
			if (view.ledger.epoch > 0) {
				bus.publish({type: 'peer-send', to: id, message: {type: 'ledger-row', ledger: view.ledger}});
				report();
			}
		}),
		bus.subscribe('peer-received', ({message}) => {
			checkPause();
			if (message.type === 'ledger-report') {
				receive(message);
			} else if (message.type === 'ledger-row') {
				setLedger(message.ledger, undefined);
			}
		}),
	];

	return {
		getView: () => view,
		applyLedger: setLedger,
		tick(isReportDue) {
			checkPause();
			renewLease();
			requests.tick();
			slots.tick();
			links.tick();
			raise();
			if (isReportDue || (!isReportedCurrent() && !requests.isOverAllocated())) {
				report();
			}
		},
		stop() {
			isStopped = true;
			lease.invalidate();
			lower();
			return !requests.isOverAllocated() && slots.getOverAllocations().size === 0 && links.getOverAllocations().size === 0;
		},
		startNewIncarnation: renew,
		end() {
			for (const end of endings) {
				end();
			}
		},
	};
}

/** The members as other tasks know them: without the terms of the ledger. */
function publishMembers(bus: MessageBus<NodeMessage>, ledger: Ledger): void {
	const live = ledger.members.filter(member => isLive(member));
	const members = live.map(({standing, ...member}) => ({...member, incarnation: member.incarnation.split('~', 1)[0] ?? ''}));
	bus.publish({type: 'membership-changed', members});
}
