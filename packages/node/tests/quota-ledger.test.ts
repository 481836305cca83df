/** An incarnation that is no longer live in the ledger loses its allocations, and the node continues as a new incarnation. */
import {expect, test} from 'vitest';
import {createManualClock} from '@catkindale/common';
import {createMessageBus} from '@catkindale/kernel';
import {
	type Ledger, configurationSchema, emptyLedger, expireMembers, fenceMembers, joinLedger, removeMembers,
} from '@catkindale/policy';
import type {NodeMessage} from '../src/node-messages.js';
import {createNodeQuotas} from '../src/node-quotas.js';

const ownIncarnations = new Set(['run-1']);
const joined = joinLedger(emptyLedger, {
	id: 'ost-1', incarnation: 'run-1', region: 'ost', zone: 'ost-a', callerAddress: '', peerAddress: '', state: 'live',
});

test.each<{readonly name: string; readonly ledger: Ledger}>([
	{name: 'fenced', ledger: fenceMembers(joined, ownIncarnations)},
	{name: 'expired', ledger: expireMembers(fenceMembers(joined, ownIncarnations), ownIncarnations)},
	{name: 'removed', ledger: removeMembers(joined, ownIncarnations)},
])('a member that was $name has no allocation and a new incarnation', ({ledger}) => {
	const clock = createManualClock();
	const bus = createMessageBus<NodeMessage>();
	const quotas = createNodeQuotas({
		ownId: 'ost-1', region: 'ost', zone: 'ost-a', incarnation: 'run-1', clock, bus, leaseMilliseconds: 1000, pauseLimitMilliseconds: 500,
	});
	bus.publish({
		type: 'configuration-changed', version: 1, configuration: configurationSchema.parse({regions: [{name: 'ost', zones: ['ost-a']}], customers: [{name: 'kiel', rate: 10, burst: 10}]}),
	});
	quotas.ledger.applyLedger(joined, clock.monotonic());
	expect(quotas.requests.getUsableQuota('kiel')).toEqual({rate: 10, burst: 10});
	quotas.ledger.applyLedger(ledger, clock.monotonic());
	expect(quotas.requests.getUsableQuota('kiel')).toEqual({rate: 0, burst: 0});
	expect(quotas.ledger.getView().incarnation).toBe('run-1~2');
	quotas.end();
});
