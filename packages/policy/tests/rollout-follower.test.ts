/** Which requests a node sends to the new version, depending on the evidence. */
import {expect, test} from 'vitest';
import {
	type RouteEvidence, createEvidenceCounts, createRolloutFollower, isIdempotentOnly, startRollout, evaluateEvidence, updateFromReport, updateFromTable,
} from '../src/index.js';

const lookup = 'GET /prices';
const order = 'POST /orders';
const rollout = {
	name: 'pricing-2', service: 'pricing', from: '1', to: '2', deadline: new Date(600_000).toISOString(), cap: 1, minimumRequests: 30,
};

function getEvidence(route: string, failures: number): RouteEvidence {
	const old = {...createEvidenceCounts(), requests: 1000, failures: 5};
	return {route, from: old, to: {...createEvidenceCounts(), requests: 2, failures}};
}

test.each([
	{
		name: 'the first step receives only idempotent requests', step: 0, evidence: [], routes: [lookup], expected: true,
	},
	{
		name: 'a service without idempotent routes sends all requests', step: 0, evidence: [], routes: [], expected: false,
	},
	{
		name: 'later steps receive all requests', step: 1, evidence: [getEvidence(lookup, 0)], routes: [lookup], expected: false,
	},
	{
		name: 'a failure on an idempotent route excludes all other requests', step: 1, evidence: [getEvidence(lookup, 1)], routes: [lookup], expected: true,
	},
	{
		name: 'a failure on another route excludes none, since only further requests there yield evidence',
		step: 1,
		evidence: [getEvidence(lookup, 0), getEvidence(order, 1)],
		routes: [lookup],
		expected: false,
	},
])('$name', ({step, evidence, routes, expected}) => {
	const row = {...startRollout(rollout, {configurationVersion: 1, instances: 4}, 0), step};
	const withRow = updateFromTable(createRolloutFollower('oslo-1'), row, 1, 0);
	const withReport = updateFromReport(withRow, 'oslo-2', {
		rollout: rollout.name, incarnation: 'a', sequence: 1, rowVersion: 1, evidence,
	}, 0);
	expect(isIdempotentOnly(evaluateEvidence(withReport), new Set(routes))).toBe(expected);
});

// A row that someone else wrote, with another end than the known one, ended every node that read it.
test.each(['reverted', 'running', 'halted'] as const)('a rollout that is done stays so where its row later says %s', phase => {
	const row = startRollout(rollout, {configurationVersion: 1, instances: 4}, 0);
	const done = updateFromTable(createRolloutFollower('oslo-1'), {...row, phase: 'done'}, 1, 0);
	expect(updateFromTable(done, {...row, phase}, 2, 1).row?.phase).toBe('done');
	expect(updateFromTable(done, {...row, attempt: row.attempt + 1, phase}, 2, 1).row?.phase).toBe(phase);
});
