import {setTimeout as delay} from 'node:timers/promises';
import {expect, test, vi} from 'vitest';
import {systemClock} from '@catkindale/common';
import type {Selection, SelectionRequest} from '../src/target-selector.js';
import {createSelectionRequest, createTestSelector} from './selector-helpers.js';

type Case = {
	readonly title: string;
	readonly held: Record<string, number>;
	readonly change?: () => Partial<SelectionRequest>;
	readonly reason: string;
};

const refusals: Case[] = [
	{title: 'without a target', held: {}, reason: 'no-target'},
	{
		title: 'when every target was tried', held: {a: 1}, change: () => ({excluded: new Set(['a'])}), reason: 'no-target',
	},
	{title: 'when a node without slots gets no loan', held: {a: 0}, reason: 'no-slot'},
	{
		title: 'when the caller has disconnected', held: {a: 1}, change: () => ({signal: AbortSignal.abort()}), reason: 'cancelled',
	},
];

test.each(refusals)('refuses $title', async ({held, change, reason}) => {
	const {selector, candidates, quota} = createTestSelector(held);
	const selection = await selector.select(createSelectionRequest(candidates, change?.()));
	expect(selection).toMatchObject({kind: 'refused', reason});
	expect([...quota.inUse.values()].every(inUse => inUse === 0)).toBe(true);
});

test('a waiting request gets a slot that another request releases', async () => {
	const {selector, candidates, quota} = createTestSelector({a: 1});
	const first = await selector.select(createSelectionRequest(candidates));
	const second = selector.select(createSelectionRequest(candidates));
	finish(first);
	expect(await second).toMatchObject({kind: 'selected', target: {name: 'a'}});
	expect(quota.inUse.get('a')).toBe(1);
});

test('a waiting request gets a slot that is lent to the node', async () => {
	const {selector, candidates, quota} = createTestSelector({a: 0});
	const waiting = selector.select(createSelectionRequest(candidates));
	quota.held.set('a', 1);
	expect(await waiting).toMatchObject({kind: 'selected'});
});

test('a waiting request is refused at its deadline, and at once if it can\'t finish by then', async () => {
	const {selector, candidates} = createTestSelector({a: 1});
	const first = await selector.select(createSelectionRequest(candidates));
	await delay(60);
	finish(first);
	const running = await selector.select(createSelectionRequest(candidates));
	const startedAt = systemClock.monotonic();
	const lateSelection = await selector.select(createSelectionRequest(candidates, {deadlineAt: startedAt + 30}));
	expect(lateSelection).toMatchObject({kind: 'refused', reason: 'deadline'});
	expect(systemClock.monotonic() - startedAt).toBeLessThan(25);
	const waiting = await selector.select(createSelectionRequest(candidates, {deadlineAt: startedAt + 200}));
	expect(waiting).toMatchObject({kind: 'refused', reason: 'deadline'});
	finish(running);
});

test('an aborted request leaves the queue and takes no slot', async () => {
	const {selector, candidates, quota} = createTestSelector({a: 1});
	const first = await selector.select(createSelectionRequest(candidates));
	const caller = new AbortController();
	const waiting = selector.select(createSelectionRequest(candidates, {signal: caller.signal}));
	caller.abort();
	expect(await waiting).toMatchObject({kind: 'refused', reason: 'cancelled'});
	expect(selector.getPoolStates()[0]?.waitingRequests).toBe(0);
	finish(first);
	expect(quota.inUse.get('a')).toBe(0);
	expect(await selector.select(createSelectionRequest(candidates))).toMatchObject({kind: 'selected'});
});

test('a flood of one customer doesn\'t delay another', async () => {
	const {selector, candidates} = createTestSelector({a: 1});
	const first = await selector.select(createSelectionRequest(candidates));
	const order: string[] = [];
	const customers = [...Array.from({length: 10}, () => 'large'), 'small'];
	const served = customers.map(async customer => {
		const selection = await selector.select(createSelectionRequest(candidates, {customer}));
		order.push(customer);
		finish(selection);
	});
	finish(first);
	await Promise.all(served);
	expect(order.indexOf('small')).toBeLessThanOrEqual(1);
});

test('a slot that the quota no longer holds isn\'t used', async () => {
	const {selector, candidates, quota} = createTestSelector({a: 1});
	finish(await selector.select(createSelectionRequest(candidates)));
	quota.held.set('a', 0);
	const selection = await selector.select(createSelectionRequest(candidates, {deadlineAt: systemClock.monotonic() + 100}));
	expect(selection.kind).toBe('refused');
	expect(quota.inUse.get('a')).toBe(0);
});

test('a node without a free slot requests a loan for a target at which it holds none', async () => {
	const {selector, candidates, quota} = createTestSelector({a: 1, b: 0});
	const running = await selector.select(createSelectionRequest(candidates));
	const waiting = selector.select(createSelectionRequest(candidates));
	const hasTriedToTakeSlot = await vi.waitUntil(() => quota.attemptedTargets.has('b'));
	quota.held.set('b', 1);
	selector.refreshSlots('b');
	expect(hasTriedToTakeSlot).toBe(true);
	expect(await waiting).toMatchObject({kind: 'selected', target: {name: 'b'}});
	finish(running);
});

test('a failing target is cut off after a few requests', async () => {
	const {selector, candidates} = createTestSelector({a: 1, b: 1});
	const chosen: string[] = [];
	for (let request = 0; request < 100; request++) {
		const selection = await selector.select(createSelectionRequest(candidates));
		if (selection.kind === 'selected') {
			chosen.push(selection.target.name);
			selection.finish({kind: selection.target.name === 'a' ? 'lost' : 'answered', milliseconds: 1});
		}
	}

	expect(chosen.length).toBe(100);
	expect(chosen.filter(name => name === 'a').length).toBeLessThanOrEqual(2);
	expect(selector.getPoolStates()[0]?.cutOffTargets).toBe(1);
});

test('the metrics show queue times per customer and class, and slots', async () => {
	const {selector, candidates, registry} = createTestSelector({a: 3});
	const selection = await selector.select(createSelectionRequest(candidates));
	const text = await registry.metrics();
	expect(text).toContain('catkindale_queue_seconds_count{customer="wideroe",class="interactive"} 1');
	expect(text).toContain('catkindale_target_slots{service="pricing",version="1",state="held"} 3');
	expect(text).toContain('catkindale_target_slots{service="pricing",version="1",state="in_use"} 1');
	finish(selection);
});

function finish(selection: Selection): void {
	if (selection.kind === 'selected') {
		selection.finish({kind: 'answered', milliseconds: 1});
	}
}
