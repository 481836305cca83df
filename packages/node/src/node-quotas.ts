/** Puts together the lease, the ledger and the quotas of one node. */
import type {Clock} from '@catkindale/common';
import type {MessageBus} from '@catkindale/kernel';
import type {PeerMessage} from '@catkindale/protocol';
import type {NodeContext} from './node-context.js';
import type {NodeMessage} from './node-messages.js';
import {type QuotaLedger, createQuotaLedger} from './quota-ledger.js';
import {type LeaseLimits, type QuotaLease, createQuotaLease} from './quota-lease.js';
import {type RequestQuotas, type RequestQuotasOptions, createRequestQuotas} from './request-quotas.js';
import {type SlotQuota, createSlotQuota} from './slot-quota.js';

export type NodeQuotas = {
	readonly lease: QuotaLease;
	readonly ledger: QuotaLedger;
	readonly requests: RequestQuotas;
	readonly slots: SlotQuota;
	/** Ends the subscriptions. */
	end: () => void;
};

export type NodeQuotasOptions = LeaseLimits & Pick<RequestQuotasOptions, 'ownId' | 'zone' | 'region' | 'schedule' | 'isBorrowing'> & {
	readonly incarnation: string;
	readonly clock: Clock;
	readonly bus: MessageBus<NodeMessage>;
};

const quotasOfContexts = new WeakMap<NodeContext, NodeQuotas>();

/** The quotas of a node; the first caller creates them. */
export function getNodeQuotas(context: NodeContext): NodeQuotas {
	const known = quotasOfContexts.get(context);
	if (known) {
		return known;
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
	quotasOfContexts.set(context, quotas);
	return quotas;
}

export function createNodeQuotas(options: NodeQuotasOptions): NodeQuotas {
	const {bus, clock} = options;
	const send = (to: string, message: PeerMessage): void => {
		bus.publish({type: 'peer-send', to, message});
	};

	const lease = createQuotaLease(clock, options);
	const requests = createRequestQuotas({...options, lease, send});
	const slots = createSlotQuota({
		...options,
		lease,
		send,
		onGained(target) {
			bus.publish({type: 'slots-gained', target});
		},
	});
	const ledger = createQuotaLedger({
		...options, lease, requests, slots,
	});
	const ending = bus.subscribe('peer-received', ({from, message}) => {
		requests.receive(from, message);
		slots.receive(from, message);
	});
	return {
		lease,
		ledger,
		requests,
		slots,
		end() {
			ending();
			ledger.end();
		},
	};
}
