/** The parts of a target's limit that its nodes use by themselves, without a message for each request. */
import {describe, expect, it} from 'vitest';
import {
	type RateNode, createRateBucket, getLimitNodeRate, getRateTokenDelay, minimumLimitPerSecond, rankLimitNodes, takeRateToken,
} from '@catkindale/policy';

const target = {id: 'target', region: 'east'};
const regions = ['east', 'west', 'north'];

function createNodes(count: number, getDemand: (index: number) => number): RateNode[] {
	return Array.from({length: count}, (_, index) => ({id: `node-${index}`, region: regions[index % regions.length], demand: getDemand(index)}));
}

function getRates(nodes: readonly RateNode[], limitPerSecond: number): number[] {
	return nodes.map(({id: ownId}) => getLimitNodeRate({
		ownId, nodes: rankLimitNodes(target, nodes), knownNodes: nodes.length, target, limitPerSecond,
	}));
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}

describe('the parts of a target\'s limit', () => {
	const fleets = [
		{name: 'one node', count: 1, getDemand: () => 5},
		{name: 'nodes without demand', count: 11, getDemand: () => 0},
		{name: 'nodes of equal demand', count: 11, getDemand: () => 20},
		{name: 'all demand at one node', count: 11, getDemand: (index: number) => index === 3 ? 100 : 0},
		{name: 'many nodes', count: 76, getDemand: (index: number) => index % 7},
	];
	const limitedFleets = fleets.flatMap(fleet => [0, 0.3, 1, 5.8, 60].map(limitPerSecond => ({...fleet, limitPerSecond})));
	it.each(limitedFleets)('add up to $limitPerSecond with $name', ({count, getDemand, limitPerSecond}) => {
		const rates = getRates(createNodes(count, getDemand), limitPerSecond);
		expect(sum(rates)).toBeCloseTo(Math.max(minimumLimitPerSecond, limitPerSecond), 6);
	});

	it.each(limitedFleets)('stay within its tolerance in any 4 s with $name and $limitPerSecond a second', ({count, getDemand, limitPerSecond}) => {
		const sent: number[] = [];
		for (const rate of getRates(createNodes(count, getDemand), limitPerSecond)) {
			let bucket = createRateBucket(0);
			for (let now = 0; now < 12_000; now += 10) {
				const taken = takeRateToken(bucket, rate, now);
				bucket = taken ?? bucket;
				if (taken) {
					sent.push(now);
				}
			}
		}

		sent.sort((left, right) => left - right);
		const most = Math.max(...sent.map(start => sent.filter(time => time >= start && time < start + 4000).length));
		expect(most).toBeLessThanOrEqual((1.5 * limitPerSecond * 4) + 5);
	});

	it('are larger for nodes with more demand and for those of the target\'s region', () => {
		const nodes = createNodes(6, index => index < 3 ? 30 : 10);
		const [busyLocal, busyRemote, , calmLocal] = getRates(nodes, 10);
		expect(busyLocal).toBeGreaterThan(calmLocal!);
		expect(busyLocal).toBeGreaterThan(busyRemote!);
		expect(busyRemote).toBeGreaterThan(0);
	});

	const partitions = [
		{name: 'all nodes', heard: 11, maximum: 1},
		{name: 'a majority', heard: 6, maximum: 1},
		{name: 'a minority', heard: 5, maximum: 0.25},
		{name: 'itself alone', heard: 1, maximum: 0.05},
	];
	it.each(partitions)('leave room for the others where a node hears of $name of 11', ({heard, maximum}) => {
		const nodes = createNodes(heard, () => 20);
		const used = sum(nodes.map(({id: ownId}) => getLimitNodeRate({
			ownId, nodes: rankLimitNodes(target, nodes), knownNodes: 11, target, limitPerSecond: 20,
		})));
		expect(used).toBeLessThanOrEqual((maximum * 20) + 1e-6);
	});

	it.each([
		{rate: 2, now: 0, delay: 500},
		{rate: 2, now: 400, delay: 100},
		{rate: 0, now: 0, delay: Number.POSITIVE_INFINITY},
	])('at $rate a second have the next token $delay ms after $now ms', ({rate, now, delay}) => {
		const bucket = takeRateToken(createRateBucket(0), 1, 0)!;
		expect(getRateTokenDelay(bucket, rate, now)).toBeCloseTo(delay);
	});
});
