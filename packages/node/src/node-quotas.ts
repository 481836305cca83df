/** Creates and connects the lease, the ledger and the quotas of one node. */
import type {Clock} from '@catkindale/common';
import type {MessageBus} from '@catkindale/kernel';
import type {PeerMessage} from '@catkindale/protocol';
import {type LeaseClock, createLeaseClock} from './lease-clock.js';
import {type LinkQuotas, createLinkQuotas} from './link-quotas.js';
import type {NodeContext} from './node-context.js';
import type {NodeMessage} from './node-messages.js';
import {type QuotaLedger, createQuotaLedger} from './quota-ledger.js';
import {type QuotaLease, createQuotaLease} from './quota-lease.js';
import {type RequestQuotas, type RequestQuotasOptions, createRequestQuotas} from './request-quotas.js';
import {type SlotQuotas, createSlotQuotas} from './slot-quotas.js';

export type NodeQuotas = {
	readonly lease: QuotaLease;
	readonly ledger: QuotaLedger;
	readonly requests: RequestQuotas;
	readonly slots: SlotQuotas;
	readonly links: LinkQuotas;
	readonly clock: LeaseClock;
	/** Stops the timers and subscriptions. */
	end: () => void;
};

export type NodeQuotasOptions = Pick<RequestQuotasOptions, 'ownId' | 'zone' | 'region' | 'isBorrowing'> & {
	/** Uses timers by default. */
	readonly schedule?: RequestQuotasOptions['schedule'];
	readonly incarnation: string;
	readonly clock: Clock;
	readonly bus: MessageBus<NodeMessage>;
	readonly leaseMilliseconds: number;
	/** A node that hasn't ticked for this time assumes that it was paused. */
	readonly pauseLimitMilliseconds: number;
};

const quotasByContext = new WeakMap<NodeContext, NodeQuotas>();

/** Returns the quotas of a node; the first call creates them. */
export function getNodeQuotas(context: NodeContext): NodeQuotas {
	const existing = quotasByContext.get(context);
	if (existing) {
		return existing;
	}

	const {node, timing} = context.settings;
	const quotas = createNodeQuotas({
		ownId: node.name,
		zone: node.zone,
		region: node.region,
		incarnation: context.incarnation,
		clock: context.clock,
		bus: context.bus,
		leaseMilliseconds: timing.freshnessLimitMilliseconds,
		pauseLimitMilliseconds: timing.pauseLimitMilliseconds,
	});
	quotasByContext.set(context, quotas);
	return quotas;
}

export function createNodeQuotas(options: NodeQuotasOptions): NodeQuotas {
	const {bus} = options;
	const clock = createLeaseClock(options.clock);
	const send = (to: string, message: PeerMessage): void => {
		bus.publish({type: 'peer-send', to, message});
	};

	const lease = createQuotaLease(clock, options.leaseMilliseconds);
	const requests = createRequestQuotas({
		schedule: scheduleTimer, ...options, clock, lease, send,
	});
	const slots = createSlotQuotas({
		...options,
		clock,
		lease,
		send,
		onSlotsGained(target) {
			bus.publish({type: 'slots-gained', target});
		},
	});
	const links = createLinkQuotas({
		schedule: scheduleTimer, ...options, clock, lease,
	});
	const ledger = createQuotaLedger({
		...options, clock, lease, requests, slots, links,
	});
	const unsubscribe = bus.subscribe('peer-received', ({from, message}) => {
		requests.receive(from, message);
		slots.receive(from, message);
	});
	return {
		lease,
		ledger,
		requests,
		slots,
		links,
		clock,
		end() {
			unsubscribe();
			ledger.end();
			links.end();
		},
	};
}

function scheduleTimer(run: () => void, milliseconds: number): () => void {
	const timer = setTimeout(run, milliseconds);
	return () => {
		clearTimeout(timer);
	};
}
