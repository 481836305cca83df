/** Manifests from before the end of a rollout that are applied after its completion. */
import {expect, test} from 'vitest';
import {
	type Configuration, type RolloutPhase, type RolloutRow, configurationSchema, findStaleVersions, startRollout,
} from '../src/index.js';

const rollout = {
	name: 'pricing-2', service: 'pricing', from: '1', to: '2', deadline: '2027-01-31T06:00:00Z',
};
const laterRollout = {
	...rollout, name: 'pricing-3', from: '2', to: '3',
};

function getConfiguration(version: string, rollouts: ReadonlyArray<typeof rollout> = []): Configuration {
	return configurationSchema.parse({regions: [{name: 'oslo', zones: ['oslo-a']}], services: [{name: 'pricing', version}], rollouts});
}

function getRow(declared: typeof rollout, phase: RolloutPhase, endedAt: number): RolloutRow {
	const [parsed] = getConfiguration('1', [declared]).rollouts;
	return {...startRollout(parsed!, {configurationVersion: 1, instances: 4}, endedAt), phase};
}

const done = getRow(rollout, 'done', 1);
const declared = getConfiguration('1', [rollout]);
const cleaned = getConfiguration('2');

test.each([
	{
		name: 'the same manifest again before the cleanup', current: declared, next: declared, rows: [done], stale: 0,
	},
	{
		name: 'the cleanup', current: declared, next: cleaned, rows: [done], stale: 0,
	},
	{
		name: 'the new version with the rollout still declared', current: declared, next: getConfiguration('2', [rollout]), rows: [done], stale: 0,
	},
	{
		name: 'the rollout removed, the old version kept', current: declared, next: getConfiguration('1'), rows: [done], stale: 1,
	},
	{
		name: 'the manifest with the rollout after the cleanup', current: cleaned, next: declared, rows: [done], stale: 1,
	},
	{
		name: 'the manifest from before the rollout after the cleanup', current: cleaned, next: getConfiguration('1'), rows: [done], stale: 1,
	},
	{
		name: 'a rollout that was reverted', current: declared, next: getConfiguration('1'), rows: [getRow(rollout, 'reverted', 1)], stale: 0,
	},
	{
		name: 'a version that has already been moved back', current: getConfiguration('1'), next: getConfiguration('1'), rows: [done], stale: 0,
	},
	{
		name: 'the version after a later rollout', current: getConfiguration('2', [laterRollout]), next: getConfiguration('3'), rows: [done, getRow(laterRollout, 'done', 2)], stale: 0,
	},
	{
		name: 'the version before a later rollout', current: getConfiguration('3'), next: getConfiguration('2'), rows: [getRow(laterRollout, 'done', 2), done], stale: 1,
	},
])('$name: $stale services would be moved back', ({current, next, rows, stale}) => {
	expect(findStaleVersions(current, next, rows)).toHaveLength(stale);
});
