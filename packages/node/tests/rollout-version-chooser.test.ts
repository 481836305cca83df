/** The share of a new version is never exceeded in any window, whatever changes. */
import {describe, expect, test} from 'vitest';
import {createManualClock, createRandom} from '@catkindale/common';
import {configurationSchema} from '@catkindale/policy';
import {type VersionShare, createVersionChooser} from '../src/version-chooser.js';

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
		{name: 'with the whole share', fields: {}, expected: '2'},
		{name: 'with no share', fields: {share: 0}, expected: '1'},
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

	test.each([1, 2, 3, 4, 5])('is kept in every window while it changes at random (seed %i)', seed => {
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
	{name: 'taken back', fields: {share: 0}, expected: '1'},
])('a retry while the rollout is $name goes to version $expected', ({fields, expected}) => {
	const {chooser} = createChooser();
	chooser.setShare(getShare(fields));
	expect(chooser.chooseForRetry('pricing')).toBe(expected);
});
