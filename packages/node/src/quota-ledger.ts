/**
 * Keeps this node's floors in step with the ledger. On a new mark it lowers
 * the floors, then reports the mark to the members; once all of them report
 * the same mark it raises the floors. It performs no calls of the table.
 */
import type {MessageBus} from '@catkindale/kernel';
import {
	type Holder, type Ledger, type LedgerMark, type LedgerView, type VersionedConfiguration,
	confirmView, createLedgerView, getConfirmedAt, getEcho, getHolders, getMark, getOverhang, isLive, isLiveMember,
	isSlotRaiseAllowed, isTokenRaiseAllowed, renewIncarnation, resumeView, updateLedger, updatePeer, updateVersion,
} from '@catkindale/policy';
import type {LedgerReportMessage} from '@catkindale/protocol';
import type {LeaseClock} from './lease-clock.js';
import type {LinkQuotas} from './link-quotas.js';
import type {NodeMessage} from './node-messages.js';
import type {QuotaLease} from './quota-lease.js';
import type {RequestQuotas} from './request-quotas.js';
import type {SlotQuota} from './slot-quota.js';

export type QuotaLedgerOptions = {
	readonly ownId: string;
	readonly incarnation: string;
	readonly clock: LeaseClock;
	readonly bus: MessageBus<NodeMessage>;
	readonly lease: QuotaLease;
	readonly requests: RequestQuotas;
	readonly slots: SlotQuota;
	readonly links: LinkQuotas;
	readonly pauseLimitMilliseconds: number;
};

export type QuotaLedger = {
	readonly view: () => LedgerView;
	/** Takes a committed row; `readAt` is the own time when its read began, undefined if a peer sent it. */
	setLedger: (ledger: Ledger, readAt: number | undefined) => void;
	/**
	 * Called more often than once per heartbeat: finds pauses, renews the lease
	 * and tells the members news at once; without news only if a report is due.
	 */
	tick: (isReportDue: boolean) => void;
	/** Holds nothing from now on; whether nothing is lent or in use any more. */
	stop: () => boolean;
	/** Takes up a new incarnation after this one was fenced. */
	renew: () => string;
	end: () => void;
};

export function createQuotaLedger(options: QuotaLedgerOptions): QuotaLedger {
	const {bus, clock, lease, requests, slots, links, ownId} = options;
	let view = createLedgerView(options.incarnation);
	let holders: readonly Holder[] = [];
	let reported: LedgerMark = {epoch: 0, version: 0};
	let tickedAt = clock.own();
	let terms = 1;
	let isStopped = false;

	/** Finds a pause since the last tick before anything else is done. */
	const checkPause = (): void => {
		const now = clock.own();
		if (now - tickedAt > options.pauseLimitMilliseconds) {
			lease.end();
			view = resumeView(view, now, clock.monotonic());
		}

		tickedAt = now;
	};

	const renewLease = (): void => {
		const now = clock.own();
		view = confirmView(view, now);
		if (view.resumedAt === undefined && isLiveMember(view) && !isStopped) {
			lease.confirm(getConfirmedAt(view, now));
		}
	};

	const lower = (): void => {
		const shares = {incarnation: view.incarnation, holders: isStopped ? [] : holders};
		requests.lower(shares);
		slots.lower(shares);
		links.lower(shares);
	};

	const raise = (): void => {
		if (isStopped) {
			return;
		}

		if (isTokenRaiseAllowed(view)) {
			requests.raise();
		}

		if (isSlotRaiseAllowed(view)) {
			slots.raise(getOverhang(view));
			links.raise(getOverhang(view));
		}
	};

	const report = (): void => {
		// Loans that the lowered floors don't cover end within seconds; until then the older mark stands.
		if (!requests.hasOverhang()) {
			reported = getMark(view);
		}

		const overhang = [...slots.getOverhang(), ...links.getOverhang()];
		for (const member of view.ledger.members) {
			if (member.id === ownId) {
				continue;
			}

			const echoedAt = getEcho(view, member);
			const message: LedgerReportMessage = {
				type: 'ledger-report',
				incarnation: view.incarnation,
				...reported,
				overhang,
				// Rounded down, which makes a lease that counts from it shorter and never longer.
				sentAt: Math.floor(clock.own()),
				...(echoedAt !== undefined && {echoedAt, echoedIncarnation: member.incarnation}),
			};
			bus.publish({type: 'peer-send', to: member.id, message});
		}
	};

	/** Whether the members have been told the mark that this node acts on. */
	const isReportedCurrent = (): boolean => {
		const mark = getMark(view);
		return reported.epoch === mark.epoch && reported.version === mark.version;
	};

	const receive = (message: LedgerReportMessage): void => {
		const isEchoOfThis = message.echoedIncarnation === view.incarnation;
		view = updatePeer(view, {
			incarnation: message.incarnation,
			mark: {epoch: message.epoch, version: message.version},
			overhang: message.overhang,
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
		lease.end();
		requests.lower({incarnation: view.incarnation, holders: []});
		slots.lower({incarnation: view.incarnation, holders: []});
		links.lower({incarnation: view.incarnation, holders: []});
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

		holders = getHolders(view.ledger);
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
		view: () => view,
		setLedger,
		tick(isReportDue) {
			checkPause();
			renewLease();
			requests.tick();
			slots.tick();
			links.tick();
			raise();
			if (isReportDue || (!isReportedCurrent() && !requests.hasOverhang())) {
				report();
			}
		},
		stop() {
			isStopped = true;
			lease.end();
			lower();
			return !requests.hasOverhang() && slots.getOverhang().size === 0 && links.getOverhang().size === 0;
		},
		renew,
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
