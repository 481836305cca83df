/** The share of a new version is never exceeded in any window, even if the share changes. */
import {describe, expect, test} from 'vitest';
import {createManualClock, createRandom} from '@catkindale/common';
import {type Route, configurationSchema} from '@catkindale/policy';
import {type VersionChooser, type VersionShare, createVersionChooser} from '../src/version-chooser.js';

const configuration = configurationSchema.parse({
	regions: [{name: 'oslo', zones: ['oslo-a']}],
	services: [{name: 'pricing', version: '1'}],
});

function createChooser() {
	const clock = createManualClock();
	const chooser = createVersionChooser(clock);
	chooser.setConfiguration(configuration);
	return {clock, chooser};
}

function getShare(fields: Partial<VersionShare>): VersionShare {
	return {
		service: 'pricing', version: '2', share: 1, ...fields,
	};
}

describe('the share of a new version', () => {
	test.each([
		{name: 'without a share', fields: undefined, expected: '1'},
		{name: 'with the full share', fields: {}, expected: '2'},
		{name: 'with a share of 0', fields: {share: 0}, expected: '1'},
		{name: 'when it was not renewed in time', fields: {validUntil: 999}, expected: '1'},
		{name: 'when it was renewed', fields: {validUntil: 1000}, expected: '2'},
		{name: 'at the deadline', fields: {deadlineAt: 1000}, expected: '1'},
		{name: 'before the deadline', fields: {deadlineAt: 1001}, expected: '2'},
	])('$name gives version $expected', ({fields, expected}) => {
		const {clock, chooser} = createChooser();
		clock.advance(1000);
		if (fields) {
			chooser.setShare(getShare(fields));
		}

		expect(chooser.choose('pricing')).toBe(expected);
	});

	test.each([1, 2, 3, 4, 5])('isn\'t exceeded in any window while it changes at random (seed %i)', seed => {
		const random = createRandom(seed);
		const {chooser} = createChooser();
		let share = 0;
		let largestExcess = 0;
		let excess = 0;
		for (let request = 0; request < 5000; request++) {
			if (random.fraction() < 0.05) {
				share = random.integer(0, 100) / 100;
			}

			chooser.setShare(getShare({share}));
			const isNew = chooser.choose('pricing') === '2';
			excess = Math.max(0, excess + (isNew ? 1 : 0) - share);
			largestExcess = Math.max(largestExcess, excess);
		}

		expect(largestExcess).toBeLessThanOrEqual(1 + 1e-6);
	});
});

test.each([
	{name: 'on trial', fields: {share: 1, deadlineAt: 5000}, expected: '1'},
	{name: 'done', fields: {share: 1}, expected: '2'},
	{name: 'reverted', fields: {share: 0}, expected: '1'},
])('a retry while the rollout is $name goes to version $expected', ({fields, expected}) => {
	const {chooser} = createChooser();
	chooser.setShare(getShare(fields));
	expect(chooser.chooseForRetry('pricing')).toBe(expected);
});

describe('requests of a route at a version on trial', () => {
	const [lookup, order] = configurationSchema.parse({
		regions: [{name: 'oslo', zones: ['oslo-a']}],
		services: [{name: 'pricing', version: '1'}],
		routes: [
			{
				service: 'pricing', method: 'GET', path: '/prices', idempotent: true,
			},
			{
				service: 'pricing', method: 'POST', path: '/orders', idempotent: false,
			},
		],
	}).routes as [Route, Route];
	const trial = {share: 1, deadlineAt: 5000, evaluation: 1};

	function createTrial(fields: Partial<VersionShare> = {}) {
		const {chooser} = createChooser();
		chooser.setShare(getShare({...trial, ...fields}));
		return chooser;
	}

	function countAdmitted(chooser: VersionChooser, route: Route, requests: number): number {
		return Array.from({length: requests}, () => chooser.chooseForRoute(route).version).filter(version => version === '2').length;
	}

	test.each([
		{name: 'without evidence', ends: [], expected: 1},
		{name: 'after a good response', ends: ['good'], expected: 2},
		{name: 'after good responses', ends: ['good', 'good', 'good'], expected: 4},
		{name: 'after a request that wasn\'t sent', ends: ['not-sent'], expected: 1},
		{name: 'after a failure that wasn\'t evaluated', ends: ['failed'], expected: 0},
		{name: 'after good responses and a failure', ends: ['good', 'good', 'good', 'good', 'failed'], expected: 2},
	] as const)('$name: $expected of 100 concurrent requests are admitted', ({ends, expected}) => {
		const chooser = createTrial();
		for (const end of ends) {
			chooser.chooseForRoute(lookup).recordOutcome(end);
		}

		expect(countAdmitted(chooser, lookup, 100)).toBe(expected);
	});

	test('an evaluated failure releases its place', () => {
		const chooser = createTrial();
		chooser.chooseForRoute(lookup).recordOutcome('failed');
		chooser.setShare(getShare(trial));
		expect(countAdmitted(chooser, lookup, 10)).toBe(0);
		chooser.setShare(getShare({...trial, evaluation: 2}));
		expect(countAdmitted(chooser, lookup, 10)).toBe(1);
	});

	test('a request that ends twice releases its place once', () => {
		const chooser = createTrial();
		const {recordOutcome} = chooser.chooseForRoute(lookup);
		recordOutcome('not-sent');
		recordOutcome('good');
		expect(countAdmitted(chooser, lookup, 10)).toBe(1);
	});

	test('evidence of one route admits no requests of another', () => {
		const chooser = createTrial();
		for (let request = 0; request < 10; request++) {
			chooser.chooseForRoute(lookup).recordOutcome('good');
		}

		expect(countAdmitted(chooser, order, 10)).toBe(1);
	});

	test('non-idempotent requests are excluded while only idempotent ones are allowed', () => {
		const chooser = createTrial({isIdempotentOnly: true});
		expect(countAdmitted(chooser, order, 10)).toBe(0);
		expect(countAdmitted(chooser, lookup, 10)).toBe(1);
	});

	test('a completed rollout has no limit', () => {
		const chooser = createTrial({deadlineAt: undefined});
		expect(countAdmitted(chooser, order, 10)).toBe(10);
	});

	test('requests excluded from the trial accumulate no credit', () => {
		const chooser = createTrial({share: 0.1, isIdempotentOnly: true});
		countAdmitted(chooser, order, 1000);
		chooser.setShare(getShare({...trial, share: 0.1}));
		let admitted = 0;
		for (let request = 0; request < 10; request++) {
			const choice = chooser.chooseForRoute(order);
			choice.recordOutcome('good');
			admitted += choice.version === '2' ? 1 : 0;
		}

		expect(admitted).toBeLessThanOrEqual(2);
	});
});
