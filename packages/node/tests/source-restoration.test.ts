/** What a gateway follows, and tells a gateway that starts, while its source has just come back from a copy. */
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {Registry} from 'prom-client';
import {type Clock, createSilentLogger} from '@catkindale/common';
import type {TrafficTarget} from '@catkindale/policy';
import type {RegisteredTargets, TrafficOrders} from '@catkindale/protocol';
import {type SourceRestoration, createSourceRestoration} from '../src/source-restoration.js';

const clock: Clock = {monotonic: () => Date.now(), wall: () => Date.now()};
const holdMilliseconds = 10_000;

const target: TrafficTarget = {
	id: 'target-1', revision: 1, startedAt: 1, service: 'pricing', address: '127.0.0.1:1', zone: 'east-a', region: 'east', version: 'v1', slots: 4, isLeaving: false, coldForMilliseconds: 0,
};

function createTargets(era: number, isLeaving: boolean): RegisteredTargets {
	return {era, revision: 5, targets: [{...target, isLeaving}]};
}

function createOrders(era: number, evacuatedZones: string[], version = 'v1', revision = 5): TrafficOrders {
	return {
		era, revision, evacuatedZones, versions: [{
			service: 'pricing', version, revision, durationMilliseconds: 1000,
		}],
	};
}

describe('a source that came back from a copy', () => {
	let restoration: SourceRestoration;
	let restoredEras: number[];
	let released: Array<{readonly orders: TrafficOrders | undefined; readonly targets: RegisteredTargets | undefined}>;

	const create = (): SourceRestoration => createSourceRestoration({
		clock,
		logger: createSilentLogger(),
		metrics: new Registry(),
		onRestored(era) {
			restoredEras.push(era);
		},
		onReleased(latest) {
			released.push(latest);
		},
	});

	const isLeaving = (targets: RegisteredTargets): boolean => targets.targets[0]!.isLeaving;

	beforeEach(() => {
		vi.useFakeTimers();
		restoredEras = [];
		released = [];
		restoration = create();
		restoration.receiveOrders(createOrders(1, [], 'v1'));
		restoration.receiveOrders(createOrders(1, ['east-a'], 'v2', 8));
		restoration.receiveTargets(createTargets(1, true));
	});

	afterEach(() => {
		restoration.stop();
		vi.useRealTimers();
	});

	it('doesn\'t undo what was known, until the end of the time', async () => {
		expect(isLeaving(restoration.receiveTargets(createTargets(2, false)))).toBe(true);
		expect(restoration.receiveOrders(createOrders(2, []))).toMatchObject({versions: [], evacuatedZones: ['east-a']});
		expect(restoredEras).toEqual([2]);
		await vi.advanceTimersByTimeAsync(holdMilliseconds - 1);
		expect(released).toEqual([]);
		await vi.advanceTimersByTimeAsync(1);
		expect(released).toEqual([{orders: createOrders(2, []), targets: createTargets(2, false)}]);
		expect(isLeaving(restoration.receiveTargets(createTargets(2, false)))).toBe(false);
	});

	it('twice in a row: holds from the second return on', async () => {
		restoration.receiveTargets(createTargets(2, false));
		restoration.receiveOrders(createOrders(2, []));
		await vi.advanceTimersByTimeAsync(holdMilliseconds - 1);
		expect(isLeaving(restoration.receiveTargets(createTargets(3, false)))).toBe(true);
		expect(restoration.receiveOrders(createOrders(3, []))).toMatchObject({versions: [], evacuatedZones: ['east-a']});
		await vi.advanceTimersByTimeAsync(holdMilliseconds - 1);
		expect(released).toEqual([]);
		expect(restoredEras).toEqual([2, 3]);
	});

	const starts = [
		{name: 'while the copy is served', isRestored: true, eras: [2]},
		{name: 'and the copy is served only then', isRestored: false, eras: [1, 2]},
	];
	it.each(starts)('isn\'t taken for the truth by a gateway that starts, $name', ({isRestored, eras}) => {
		if (isRestored) {
			restoration.receiveTargets(createTargets(2, false));
			restoration.receiveOrders(createOrders(2, []));
		}

		const started = create();
		started.addHeld(restoration.getHeld());
		for (const era of eras) {
			const orders = started.receiveOrders(era === 1 ? createOrders(1, ['east-a'], 'v2', 8) : createOrders(2, []));
			expect(orders.evacuatedZones).toEqual(['east-a']);
			expect(orders.versions.map(({version}) => version)).toEqual(era === 1 ? ['v2'] : []);
			expect(isLeaving(started.receiveTargets(createTargets(era, era === 1)))).toBe(true);
		}

		started.stop();
	});

	it('isn\'t one that begins to name its era', () => {
		const started = create();
		started.receiveOrders(createOrders(0, ['east-a'], 'v2'));
		started.receiveTargets(createTargets(0, true));
		expect(started.receiveOrders(createOrders(1, []))).toMatchObject({versions: [{version: 'v1'}], evacuatedZones: []});
		expect(isLeaving(started.receiveTargets(createTargets(1, false)))).toBe(false);
		expect(restoredEras).toEqual([]);
		started.stop();
	});

	it('leaves what is written after the hold to the source alone', async () => {
		restoration.receiveTargets(createTargets(2, true));
		restoration.receiveOrders(createOrders(2, ['east-a'], 'v2', 8));
		await vi.advanceTimersByTimeAsync(holdMilliseconds);
		expect(restoration.receiveOrders(createOrders(2, [], 'v1', 9))).toMatchObject({versions: [{version: 'v1'}], evacuatedZones: []});
		expect(restoration.getHeld()).toMatchObject({evacuatedZones: [], orders: [], remainingMilliseconds: 0});
	});
});
