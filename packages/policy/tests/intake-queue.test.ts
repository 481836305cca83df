/** The loads: callers that waited for a gateway to start, all at once; and more requests than a gateway's processor can serve, for seconds. */
import {describe, expect, it} from 'vitest';
import {type IntakeItem, createIntakeQueue} from '@catkindale/policy';

type Request = IntakeItem & {readonly name: string};

const stepMilliseconds = 10;

function createRequest(name: string, priority: number, arrivedAt = 0, limitMilliseconds = 2500): Request {
	return {
		name, priority, limitMilliseconds, arrivedAt,
	};
}

describe('the order in which requests begin', () => {
	const orders = [
		{name: 'the most urgent first, whenever it came', arrivals: [['a', 2], ['b', 0], ['c', 1], ['d', 0]] as const, began: ['b', 'd', 'c', 'a']},
		{name: 'the oldest first among equals', arrivals: [['a', 1], ['b', 1], ['c', 1]] as const, began: ['a', 'b', 'c']},
	];
	it.each(orders)('$name', ({arrivals, began}) => {
		const queue = createIntakeQueue<Request>();
		for (const [index, [name, priority]] of arrivals.entries()) {
			queue.add(createRequest(name, priority, index), index);
		}

		expect(arrivals.map(() => queue.take(() => true)?.name)).toEqual(began);
		expect(queue.getLength()).toBe(0);
	});

	it('waits until the first is ready', () => {
		const queue = createIntakeQueue<Request>();
		queue.add(createRequest('a', 0), 0);
		expect(queue.take(() => false)).toBeUndefined();
		expect(queue.getLength()).toBe(1);
	});
});

type Load = {
	readonly name: string;
	/** Requests of priority 2 and of priority 0 that come in each step. */
	readonly usual: (step: number) => number;
	readonly urgent: (step: number) => number;
	readonly steps: number;
	/** The longest wait for connections to be accepted. */
	readonly acceptMilliseconds?: number;
	readonly refusedUsual: readonly [number, number];
	readonly refusedUrgent: readonly [number, number];
	/** Of what begins, from the second second on. */
	readonly longestWait: number;
};

const onlyAt = (count: number, at: number) => (step: number) => step === at ? count : 0;

describe('what is refused while one request begins in 10 ms', () => {
	const loads: Load[] = [
		{
			name: 'a burst that is served within a second: nothing', usual: onlyAt(60, 0), urgent: onlyAt(30, 0), steps: 300, refusedUsual: [0, 0], refusedUrgent: [0, 0], longestWait: 0,
		},
		{
			name: 'a burst beyond half of the callers\' time: what comes last of the least urgent', usual: onlyAt(200, 0), urgent: onlyAt(30, 0), steps: 300, refusedUsual: [70, 140], refusedUrgent: [0, 0], longestWait: 1250,
		},
		{
			name: 'a load just below what can be served: nothing', usual: step => step % 10 < 6 ? 1 : 0, urgent: step => step % 10 < 3 ? 1 : 0, steps: 500, refusedUsual: [0, 0], refusedUrgent: [0, 0], longestWait: 40,
		},
		{
			name: 'twice what can be served, for five seconds: of the least urgent alone', usual: step => step % 2 === 0 ? 3 : 0, urgent: step => step % 2, steps: 500, refusedUsual: [400, 500], refusedUrgent: [0, 0], longestWait: 450,
		},
		{
			name: 'three times what can be served, all urgent: two thirds, and the rest in time', usual: () => 0, urgent: () => 3, steps: 500, refusedUsual: [0, 0], refusedUrgent: [900, 1010], longestWait: 460,
		},
		{
			name: 'connections that wait to be accepted for longer than a burst: all', usual: () => 1, urgent: () => 0, steps: 200, acceptMilliseconds: 1500, refusedUsual: [200, 200], refusedUrgent: [0, 0], longestWait: 0,
		},
	];
	it.each(loads)('$name', ({usual, urgent, steps, acceptMilliseconds = 0, refusedUsual, refusedUrgent, longestWait}) => {
		const queue = createIntakeQueue<Request>();
		const refused = [0, 0, 0];
		let longest = 0;
		for (let step = 0; step < steps; step++) {
			const now = step * stepMilliseconds;
			const state = {now, acceptMilliseconds};
			const arrivals = [...Array.from({length: usual(step)}, () => 2), ...Array.from({length: urgent(step)}, () => 0)];
			for (const priority of arrivals) {
				const request = createRequest(String(now), priority, now);
				if (queue.isTooLate(request, state)) {
					refused[priority]! += 1;
				} else {
					queue.add(request, now);
				}
			}

			for (const {priority} of queue.takeLate(state)) {
				refused[priority]! += 1;
			}

			const begun = queue.take(() => true);
			if (begun && now > 1500) {
				longest = Math.max(longest, now - begun.arrivedAt);
			}
		}

		expect(refused[2]).toBeGreaterThanOrEqual(refusedUsual[0]);
		expect(refused[2]).toBeLessThanOrEqual(refusedUsual[1]);
		expect(refused[0]).toBeGreaterThanOrEqual(refusedUrgent[0]);
		expect(refused[0]).toBeLessThanOrEqual(refusedUrgent[1]);
		expect(longest).toBeLessThanOrEqual(longestWait);
	});
});

describe('a request whose caller leaves', () => {
	it('no longer waits, nor do others for it', () => {
		const queue = createIntakeQueue<Request>();
		const gone = createRequest('gone', 0);
		queue.add(gone, 0);
		queue.add(createRequest('next', 1), 0);
		queue.remove(gone);
		queue.remove(gone);
		expect(queue.getLength()).toBe(1);
		expect(queue.take(() => true)?.name).toBe('next');
	});
});
