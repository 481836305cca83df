/** Which slots a node lends, and which borrowed slots it returns first. */
import {expect, test} from 'vitest';
import {createManualClock} from '@catkindale/common';
import {createMessageBus} from '@catkindale/kernel';
import {configurationSchema, emptyLedger, joinLedger} from '@catkindale/policy';
import type {PeerMessage} from '@catkindale/protocol';
import type {NodeMessage} from '../src/node-messages.js';
import {type NodeQuotas, createNodeQuotas} from '../src/node-quotas.js';

type Fixture = {
	readonly quotas: NodeQuotas;
	readonly sent: PeerMessage[];
	readonly receive: (from: string, message: PeerMessage) => void;
};

type NamedTarget = {readonly name: string; readonly version: string};

/** Creates a member of a region with the given others, or alone with one own slot at each target. */
function createFixture(targets: readonly NamedTarget[], others: readonly string[] = []): Fixture {
	const bus = createMessageBus<NodeMessage>();
	const sent: PeerMessage[] = [];
	const clock = createManualClock();
	const quotas = createNodeQuotas({
		ownId: 'ost-1', region: 'ost', zone: 'ost-a', incarnation: 'run-1', clock, bus, leaseMilliseconds: 1000, pauseLimitMilliseconds: 500,
	});
	bus.subscribe('peer-send', ({message}) => {
		sent.push(message);
	});
	bus.publish({
		type: 'configuration-changed', version: 1, configuration: configurationSchema.parse({
			regions: [{name: 'ost', zones: ['ost-a']}],
			targets: targets.map(({name, version}) => ({
				name, service: 'status', version, region: 'ost', zone: 'ost-a', address: '127.0.0.1:1', slots: 1,
			})),
		}),
	});
	let ledger = emptyLedger;
	for (const id of ['ost-1', ...others]) {
		ledger = joinLedger(ledger, {
			id, incarnation: id === 'ost-1' ? 'run-1' : id, region: 'ost', zone: 'ost-a', callerAddress: '', peerAddress: '', state: 'live',
		});
	}

	quotas.ledger.applyLedger(ledger, clock.monotonic());
	quotas.ledger.tick(true);
	return {
		quotas,
		sent,
		receive(from, message) {
			bus.publish({type: 'peer-received', from, message});
		},
	};
}

type LendingCase = {
	readonly title: string;
	readonly targets: readonly NamedTarget[];
	/** Targets at which a request has just ended, and those at which one is still running. */
	readonly finished: readonly string[];
	readonly running: readonly string[];
	/** Slots lent at each target if loans are requested in this order. */
	readonly lent: readonly number[];
};

const deadlineAt = 1000;
const loanMilliseconds = 15_000;
const sameVersion = [{name: 'a', version: '1'}, {name: 'b', version: '1'}];
const differentVersions = [{name: 'a', version: '1'}, {name: 'b', version: '2'}];

test.each<LendingCase>([
	{
		title: 'all slots while its own callers are idle', targets: sameVersion, finished: [], running: [], lent: [1, 1],
	},
	{
		title: 'all slots but one that its own requests could take', targets: sameVersion, finished: ['a', 'b'], running: [], lent: [1, 0],
	},
	{
		title: 'not its last free slot while its requests run elsewhere', targets: sameVersion, finished: [], running: ['a'], lent: [0, 0],
	},
	{
		title: 'the slot at a target without its requests rather than the one at a target that they use', targets: sameVersion, finished: ['a'], running: [], lent: [0, 1],
	},
	{
		title: 'no slot of the only target of the version that it uses', targets: differentVersions, finished: ['a'], running: [], lent: [0, 1],
	},
])('a node lends $title', ({targets, finished, running, lent}) => {
	const {quotas, sent, receive} = createFixture(targets);
	for (const name of [...finished, ...running]) {
		expect(quotas.slots.take(name)).toBe(true);
	}

	for (const name of finished) {
		quotas.slots.release(name);
	}

	for (const {name} of targets) {
		receive('ost-2', {
			type: 'slot-loan-wish', id: `request-${name}`, target: name, slots: 2, milliseconds: loanMilliseconds,
		});
	}

	const loans = sent.filter(message => message.type === 'slot-loan');
	expect(loans.map(loan => loan.slots)).toEqual(lent);
	expect(targets.map(({name}) => quotas.slots.getLent(name))).toEqual(lent);
	quotas.end();
});

test('a recalled loan is returned before one that isn\'t recalled', () => {
	const {quotas, sent, receive} = createFixture([{name: 'a', version: '1'}], ['ost-2', 'ost-3']);
	for (const lender of ['ost-2', 'ost-3']) {
		expect(quotas.slots.take('a', deadlineAt)).toBe(false);
		const request = sent.findLast(message => message.type === 'slot-loan-wish');
		receive(lender, {
			type: 'slot-loan', id: request?.id ?? '', target: 'a', slots: 1, milliseconds: loanMilliseconds,
		});
		expect(quotas.slots.take('a', deadlineAt)).toBe(true);
	}

	const [, secondRequest] = sent.filter(message => message.type === 'slot-loan-wish');
	receive('ost-3', {type: 'slot-recall', id: secondRequest?.id ?? '', target: 'a'});
	quotas.slots.release('a');
	expect(sent.filter(message => message.type === 'slot-return').map(message => message.id)).toEqual([secondRequest?.id]);
	quotas.end();
});
