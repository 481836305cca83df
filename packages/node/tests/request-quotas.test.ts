/** How long requests wait for a token of their customer. */
import {expect, test} from 'vitest';
import {createManualClock} from '@catkindale/common';
import {createMessageBus} from '@catkindale/kernel';
import {configurationSchema, emptyLedger, joinLedger} from '@catkindale/policy';
import type {NodeMessage} from '../src/node-messages.js';
import {type NodeQuotas, createNodeQuotas} from '../src/node-quotas.js';

type Fixture = {
	readonly quotas: NodeQuotas;
	/** Advances the clock by single milliseconds and runs the scheduled callbacks. */
	readonly runFor: (milliseconds: number) => Promise<void>;
};

/** Creates a single member with a customer whose burst is used up and whose rate is one token per 500 ms. */
function createFixture(): Fixture {
	const clock = createManualClock();
	const bus = createMessageBus<NodeMessage>();
	const scheduled = new Map<() => void, number>();
	const quotas = createNodeQuotas({
		ownId: 'ost-1', region: 'ost', zone: 'ost-a', incarnation: 'run-1', clock, bus, leaseMilliseconds: 60_000, pauseLimitMilliseconds: 30_000,
		schedule(run, milliseconds) {
			const callback = (): void => {
				run();
			};

			scheduled.set(callback, clock.monotonic() + milliseconds);
			return () => {
				scheduled.delete(callback);
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
				for (const [callback, at] of scheduled) {
					if (at <= clock.monotonic()) {
						scheduled.delete(callback);
						callback();
					}
				}

				await Promise.resolve();
			}
		},
	};
}

type Case = {
	readonly title: string;
	/** For each request, the milliseconds until its deadline. */
	readonly waitLimits: readonly number[];
	/** The result of each request after 600 ms. */
	readonly kinds: ReadonlyArray<'admitted' | 'refused' | 'waiting'>;
};

test.each<Case>([
	{title: 'is admitted if a token is available in time', waitLimits: [550], kinds: ['admitted']},
	{title: 'is refused at its deadline', waitLimits: [300], kinds: ['refused']},
	{title: 'is refused at its deadline behind one that may wait longer', waitLimits: [2000, 300], kinds: ['admitted', 'refused']},
	{title: 'leaves the token to the next one if it is refused', waitLimits: [300, 2000], kinds: ['refused', 'admitted']},
	{title: 'keeps its place while others are refused', waitLimits: [2000, 300, 2000], kinds: ['admitted', 'refused', 'waiting']},
])('a request that waits for a token $title', async ({waitLimits, kinds}) => {
	const {quotas, runFor} = createFixture();
	const outcomes: Array<Case['kinds'][number]> = waitLimits.map(() => 'waiting');
	for (const [index, waitLimit] of waitLimits.entries()) {
		void (async () => {
			const {kind} = await quotas.requests.admitOrWait('kiel', quotas.clock.monotonic() + waitLimit);
			outcomes[index] = kind;
		})();
	}

	await runFor(600);
	expect(outcomes).toEqual(kinds);
	quotas.end();
});

test('requests that wait for a token are refused together, and the token goes to a later one', async () => {
	const {quotas, runFor} = createFixture();
	const waiting = Promise.all([1, 2].map(async () => quotas.requests.admitOrWait('kiel', Number.POSITIVE_INFINITY)));
	quotas.requests.refuseWaiters();
	const admissions = await waiting;
	expect(admissions.map(({kind}) => kind)).toEqual(['refused', 'refused']);
	await runFor(600);
	expect(quotas.requests.admit('kiel').kind).toBe('admitted');
	quotas.end();
});

test('a request whose deadline has been reached is refused without waiting', async () => {
	const {quotas} = createFixture();
	const admission = await quotas.requests.admitOrWait('kiel', quotas.clock.monotonic());
	expect(admission.kind).toBe('refused');
	quotas.end();
});
