/** How long requests wait for tokens of their customer's rate. */
import {expect, test} from 'vitest';
import {createManualClock} from '@catkindale/common';
import {createMessageBus} from '@catkindale/kernel';
import {configurationSchema, emptyLedger, joinLedger} from '@catkindale/policy';
import type {NodeMessage} from '../src/node-messages.js';
import {type NodeQuotas, createNodeQuotas} from '../src/node-quotas.js';

type Fixture = {
	readonly quotas: NodeQuotas;
	/** Moves the time on millisecond by millisecond and runs what was scheduled. */
	readonly runFor: (milliseconds: number) => Promise<void>;
};

/** One member with a customer whose burst is used up and whose rate makes one token in 500 ms. */
function createFixture(): Fixture {
	const clock = createManualClock();
	const bus = createMessageBus<NodeMessage>();
	const scheduled = new Map<() => void, number>();
	const quotas = createNodeQuotas({
		ownId: 'ost-1', region: 'ost', zone: 'ost-a', incarnation: 'run-1', clock, bus, leaseMilliseconds: 60_000, pauseLimitMilliseconds: 30_000,
		schedule(run, milliseconds) {
			const entry = (): void => {
				run();
			};

			scheduled.set(entry, clock.monotonic() + milliseconds);
			return () => {
				scheduled.delete(entry);
			};
		},
	});
	bus.publish({
		type: 'configuration-changed', version: 1, configuration: configurationSchema.parse({regions: [{name: 'ost', zones: ['ost-a']}], customers: [{name: 'kiel', rate: 2, burst: 2}]}),
	});
	quotas.ledger.applyLedger(joinLedger(emptyLedger, {
		id: 'ost-1', incarnation: 'run-1', region: 'ost', zone: 'ost-a', callerAddress: '', peerAddress: '', state: 'live',
	}), clock.monotonic());
	quotas.ledger.tick(true);
	while (quotas.requests.admit('kiel').kind === 'admitted') {
		// Uses up the burst.
	}

	return {
		quotas,
		async runFor(milliseconds) {
			for (let step = 0; step < milliseconds; step++) {
				clock.advance(1);
				for (const [entry, at] of scheduled) {
					if (at <= clock.monotonic()) {
						scheduled.delete(entry);
						entry();
					}
				}

				await Promise.resolve();
			}
		},
	};
}

type Case = {
	readonly title: string;
	/** Milliseconds until each request must have its token. */
	readonly waits: readonly number[];
	/** What is known of each request after 600 ms. */
	readonly kinds: ReadonlyArray<'admitted' | 'refused' | 'waiting'>;
};

test.each<Case>([
	{title: 'is admitted when a token comes in time', waits: [550], kinds: ['admitted']},
	{title: 'is refused by its deadline', waits: [300], kinds: ['refused']},
	{title: 'is refused by its deadline behind one that may wait longer', waits: [2000, 300], kinds: ['admitted', 'refused']},
	{title: 'leaves the token to the next one when it is refused', waits: [300, 2000], kinds: ['refused', 'admitted']},
	{title: 'keeps its place while others are refused', waits: [2000, 300, 2000], kinds: ['admitted', 'refused', 'waiting']},
])('a request that waits for a token $title', async ({waits, kinds}) => {
	const {quotas, runFor} = createFixture();
	const seen: Array<Case['kinds'][number]> = waits.map(() => 'waiting');
	for (const [index, wait] of waits.entries()) {
		void (async () => {
			const {kind} = await quotas.requests.admitOrWait('kiel', quotas.clock.monotonic() + wait);
			seen[index] = kind;
		})();
	}

	await runFor(600);
	expect(seen).toEqual(kinds);
	quotas.end();
});

test('a request whose token can\'t come by its deadline isn\'t held at all', async () => {
	const {quotas} = createFixture();
	const admission = await quotas.requests.admitOrWait('kiel', quotas.clock.monotonic());
	expect(admission.kind).toBe('refused');
	quotas.end();
});
