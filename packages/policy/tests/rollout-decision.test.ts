/** Steps, completion, halts and reverts of a rollout. */
import {describe, expect, test} from 'vitest';
import {
	type RolloutEvidence, type RolloutPhase, type RolloutRow, changeRollout, decideRollout, getInstanceCount, getPlannedShares, getRolloutShare, startRollout,
} from '../src/index.js';

const minute = 60_000;
const rollout = {
	name: 'pricing-2', service: 'pricing', from: '1', to: '2', deadline: new Date(10 * minute).toISOString(), cap: 1, minimumRequests: 50,
};
const good: RolloutEvidence = {
	halt: undefined, isAppliedEverywhere: true, stepRequests: 1000, evaluatedRequests: 1000, suspicion: 0.1,
};
const bad: RolloutEvidence = {...good, halt: {attempt: 1, by: 'evidence', reason: 'failures on GET /prices'}};
const stopped: RolloutEvidence = {...good, halt: {attempt: 1, by: 'operator', reason: 'operator'}};

function getRow(fields: Partial<RolloutRow> = {}): RolloutRow {
	return {...startRollout(rollout, {instances: 20, configurationVersion: 1}, 0), ...fields};
}

describe('the planned shares', () => {
	test.each([
		{cap: 1, instances: 20, expected: [0.01, 0.05, 0.125, 0.3125, 0.781_25, 1]},
		{cap: 0.3, instances: 4, expected: [0.01, 0.1, 0.25, 0.55, 0.85, 1]},
		{cap: 1, instances: 1, expected: [0.01, 0.1, 0.25, 0.625, 1]},
	])('with cap $cap and $instances instances', ({cap, instances, expected}) => {
		const shares = getPlannedShares(cap, instances);
		expect(shares).toHaveLength(expected.length);
		for (const [index, share] of expected.entries()) {
			expect(shares[index]).toBeCloseTo(share);
		}
	});

	test.each([0.01, 0.05, 0.1, 0.33, 1])('never rise by more than the cap of %d', cap => {
		const shares = getPlannedShares(cap, 12);
		const rises = shares.map((share, index) => share - (shares[index - 1] ?? 0));
		expect(Math.max(...rises)).toBeLessThanOrEqual(cap + 1e-9);
		expect(shares.at(-1)).toBe(1);
	});
});

test.each([
	{share: 0.01, instances: 20, expected: 1},
	{share: 0.05, instances: 20, expected: 1},
	{share: 0.125, instances: 20, expected: 3},
	{share: 1, instances: 20, expected: 20},
])('a share of $share is sent to $expected of $instances instances', ({share, instances, expected}) => {
	expect(getInstanceCount(share, instances)).toBe(expected);
});

describe('the decision', () => {
	const last = {step: 5, steppedAt: 8 * minute};
	test.each([
		{
			name: 'observes the first step', row: {}, evidence: good, now: 1.5 * minute, expected: 'hold',
		},
		{
			name: 'advances after the first step', row: {}, evidence: good, now: 1.7 * minute, expected: 'advance',
		},
		{
			name: 'observes the small share for most of the time', row: {step: 1}, evidence: good, now: 5.5 * minute, expected: 'hold',
		},
		{
			name: 'waits until the step is applied on every node', row: {}, evidence: {...good, isAppliedEverywhere: false}, now: 1.7 * minute, expected: 'hold',
		},
		{
			name: 'waits for enough requests in the step', row: {step: 1}, evidence: {...good, stepRequests: 1}, now: 6.1 * minute, expected: 'hold',
		},
		{
			name: 'advances to a share that needs little evidence', row: {step: 1}, evidence: {...good, evaluatedRequests: 10}, now: 6.1 * minute, expected: 'advance',
		},
		{
			name: 'advances early to a share that yields enough requests', row: {step: 1}, evidence: {...good, stepRequests: 2, evaluatedRequests: 10}, now: 3.1 * minute, expected: 'advance',
		},
		{
			name: 'keeps the share small while too few requests are evaluated', row: {step: 2}, evidence: {...good, evaluatedRequests: 49}, now: 8 * minute, expected: 'hold',
		},
		{
			name: 'advances once enough requests are evaluated', row: {step: 2}, evidence: {...good, evaluatedRequests: 50}, now: 8 * minute, expected: 'advance',
		},
		{
			name: 'advances with little traffic if the operator requires no minimum',
			row: {step: 2, minimumRequests: 0},
			evidence: {...good, evaluatedRequests: 10},
			now: 8 * minute,
			expected: 'advance',
		},
		{
			name: 'waits while the suspicion is high', row: {step: 1}, evidence: {...good, suspicion: 0.5}, now: 6.1 * minute, expected: 'hold',
		},
		{
			name: 'reverts a bad version', row: {}, evidence: bad, now: 1, expected: 'revert',
		},
		{
			name: 'records an operator\'s halt', row: {}, evidence: stopped, now: 1, expected: 'halt',
		},
		{
			name: 'stays halted', row: {phase: 'halted' as RolloutPhase}, evidence: good, now: minute, expected: 'hold',
		},
		{
			name: 'reverts a rollout that is still halted at the deadline', row: {phase: 'halted' as RolloutPhase}, evidence: good, now: 9.6 * minute, expected: 'revert',
		},
		{
			name: 'completes after the last step', row: last, evidence: good, now: 9 * minute, expected: 'complete',
		},
		{
			name: 'never completes within the margin', row: last, evidence: good, now: 9.6 * minute, expected: 'revert',
		},
		{
			name: 'reverts a rollout that can no longer be completed', row: {}, evidence: good, now: 9.4 * minute, expected: 'revert',
		},
	])('$name', ({row, evidence, now, expected}) => {
		expect(decideRollout(getRow(row), evidence, now).kind).toBe(expected);
	});
});

describe('a good version with delayed steps', () => {
	const second = 1000;
	const typicalWriteMilliseconds = 300;
	/** The next node of the ranking writes 0.7 s later, for 4 s until the lost node is removed from the list of members. */
	const successorWriteMilliseconds = 950;
	const detectionMilliseconds = 4 * second;
	test.each([
		{
			name: 'the writing node is lost at the start', deadline: 12 * second, lostAt: 0, sampledFrom: 0,
		},
		{
			name: 'the writing node is lost near the end', deadline: 12 * second, lostAt: 8 * second, sampledFrom: 0,
		},
		{
			name: 'the observed share yields few requests at first', deadline: 12 * second, lostAt: Infinity, sampledFrom: 5 * second,
		},
		{
			name: 'the same, and a node is lost', deadline: 12 * second, lostAt: 3 * second, sampledFrom: 4 * second,
		},
		{
			name: 'the same within 16 s', deadline: 16 * second, lostAt: 5 * second, sampledFrom: 6 * second,
		},
		{
			name: 'the same within minutes', deadline: 10 * minute, lostAt: 6 * minute, sampledFrom: 4 * minute,
		},
	])('$name: the rollout completes in time', ({deadline, lostAt, sampledFrom}) => {
		let row = startRollout({...rollout, deadline: new Date(deadline).toISOString()}, {instances: 3, configurationVersion: 1}, 0);
		let pendingSince: number | undefined;
		for (let now = 0; row.phase === 'running'; now += 50) {
			const evaluatedRequests = now < sampledFrom ? 0 : 1000;
			const writeDelay = now >= lostAt && now < lostAt + detectionMilliseconds ? successorWriteMilliseconds : typicalWriteMilliseconds;
			const decision = decideRollout(row, {...good, evaluatedRequests, stepRequests: evaluatedRequests}, now);
			pendingSince = decision.kind === 'hold' ? undefined : pendingSince ?? now;
			if (decision.kind !== 'hold' && now >= pendingSince! + writeDelay) {
				row = changeRollout(row, decision, now);
				pendingSince = undefined;
			}
		}

		expect(row.phase, row.reason).toBe('done');
	});
});

test('a rollout with too little traffic is reverted with that reason', () => {
	const decision = decideRollout(getRow({step: 2}), {...good, evaluatedRequests: 22}, 9.4 * minute);
	expect(decision).toMatchObject({kind: 'revert', reason: expect.stringContaining('too little traffic to judge: 22 of 50 requests') as string});
});

describe('a change of the row', () => {
	test.each([
		{phase: 'done' as const, change: 'revert' as const},
		{phase: 'reverted' as const, change: 'complete' as const},
		{phase: 'reverted' as const, change: 'resume' as const},
		{phase: 'halted' as const, change: 'advance' as const},
		{phase: 'halted' as const, change: 'complete' as const},
		{phase: 'running' as const, change: 'resume' as const},
	])('from $phase by $change violates an invariant', ({phase, change}) => {
		expect(() => changeRollout(getRow({phase, step: 5}), {kind: change, reason: ''}, 1)).toThrow('invariant broken');
	});

	test.each([
		{phase: 'running' as const, share: 0.01},
		{phase: 'halted' as const, share: 0},
		{phase: 'reverted' as const, share: 0},
		{phase: 'done' as const, share: 1},
	])('leaves a share of $share when $phase', ({phase, share}) => {
		expect(getRolloutShare(getRow({phase}))).toBe(share);
	});

	test('by an operator\'s resume starts a new attempt at the first step', () => {
		const halted = changeRollout(getRow({step: 3}), {kind: 'halt', reason: 'operator'}, 1);
		expect(changeRollout(halted, {kind: 'resume', reason: 'operator'}, 2)).toMatchObject({
			phase: 'running', attempt: 2, step: 0, startedAt: 2,
		});
	});
});
