/** A gateway that starts hears from a peer before it takes what its own source says, but never waits long for one. */
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {type Clock, createSilentLogger} from '@catkindale/common';
import {createKnowledgeIntroduction} from '../src/knowledge-introduction.js';

const clock: Clock = {monotonic: () => Date.now(), wall: () => Date.now()};
const waitMilliseconds = 500;

const cases: ReadonlyArray<{readonly name: string; readonly hasPeers: boolean; readonly peerAt: number | undefined; readonly appliedAt: number}> = [
	{
		name: 'a peer that tells before the source', hasPeers: true, peerAt: 50, appliedAt: 100,
	},
	{
		name: 'a peer that tells after the source', hasPeers: true, peerAt: 300, appliedAt: 300,
	},
	{
		name: 'peers that tell nothing', hasPeers: true, peerAt: undefined, appliedAt: 100 + waitMilliseconds,
	},
	{
		name: 'no peers', hasPeers: false, peerAt: undefined, appliedAt: 100,
	},
];

describe('what the own source says first', () => {
	beforeEach(() => {
		vi.useFakeTimers();
	});

	afterEach(() => {
		vi.useRealTimers();
	});

	it.each(cases)('is applied after $appliedAt ms beside $name', async ({hasPeers, peerAt, appliedAt}) => {
		const startedAt = Date.now();
		const times: number[] = [];
		const introduction = createKnowledgeIntroduction({clock, logger: createSilentLogger(), hasPeers});
		const readFirst = (): void => {
			introduction.apply(() => {
				times.push(Date.now() - startedAt);
			});
		};

		setTimeout(readFirst, 100);
		setTimeout(readFirst, 100);
		if (peerAt !== undefined) {
			setTimeout(() => {
				introduction.end('peer');
			}, peerAt);
		}

		await vi.advanceTimersByTimeAsync(2000);
		expect(times).toEqual([appliedAt, appliedAt]);
		expect(introduction.isWaiting()).toBe(false);
		introduction.stop();
	});
});
