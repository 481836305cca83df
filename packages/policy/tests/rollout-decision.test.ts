/** Steps, ends and halts of a rollout, one case each. */
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

	test.each([0.01, 0.05, 0.1, 0.33, 1])('never rise by more than the cap %d', cap => {
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
])('a share of $share takes $expected of $instances instances', ({share, instances, expected}) => {
	expect(getInstanceCount(share, instances)).toBe(expected);
});

describe('the decision', () => {
	const last = {step: 5, steppedAt: 8 * minute};
	test.each([
		{
			name: 'watches the first step', row: {}, evidence: good, now: 1.5 * minute, expected: 'hold',
		},
		{
			name: 'goes on after the first step', row: {}, evidence: good, now: 1.7 * minute, expected: 'advance',
		},
		{
			name: 'watches the small share for most of the time', row: {step: 1}, evidence: good, now: 5.5 * minute, expected: 'hold',
		},
		{
			name: 'waits until the step is in force', row: {}, evidence: {...good, isAppliedEverywhere: false}, now: 1.7 * minute, expected: 'hold',
		},
		{
			name: 'waits for a sample', row: {step: 1}, evidence: {...good, stepRequests: 1}, now: 6.1 * minute, expected: 'hold',
		},
		{
			name: 'goes on to a share that needs little evidence', row: {step: 1}, evidence: {...good, evaluatedRequests: 10}, now: 6.1 * minute, expected: 'advance',
		},
		{
			name: 'goes on early to a share that brings enough requests', row: {step: 1}, evidence: {...good, stepRequests: 2, evaluatedRequests: 10}, now: 3.1 * minute, expected: 'advance',
		},
		{
			name: 'keeps the share small while too few requests were judged', row: {step: 2}, evidence: {...good, evaluatedRequests: 49}, now: 8 * minute, expected: 'hold',
		},
		{
			name: 'goes on once enough requests were judged', row: {step: 2}, evidence: {...good, evaluatedRequests: 50}, now: 8 * minute, expected: 'advance',
		},
		{
			name: 'goes on with little traffic where the operator wants so', row: {step: 2, minimumRequests: 0}, evidence: {...good, evaluatedRequests: 10}, now: 8 * minute, expected: 'advance',
		},
		{
			name: 'waits while the new version is under suspicion', row: {step: 1}, evidence: {...good, suspicion: 0.5}, now: 6.1 * minute, expected: 'hold',
		},
		{
			name: 'takes a bad version back', row: {}, evidence: bad, now: 1, expected: 'revert',
		},
		{
			name: 'records an operator\'s halt', row: {}, evidence: stopped, now: 1, expected: 'halt',
		},
		{
			name: 'stays halted', row: {phase: 'halted' as RolloutPhase}, evidence: good, now: minute, expected: 'hold',
		},
		{
			name: 'takes back what is halted at the deadline', row: {phase: 'halted' as RolloutPhase}, evidence: good, now: 9.6 * minute, expected: 'revert',
		},
		{
			name: 'completes after the last step', row: last, evidence: good, now: 9 * minute, expected: 'complete',
		},
		{
			name: 'never completes within the margin', row: last, evidence: good, now: 9.6 * minute, expected: 'revert',
		},
		{
			name: 'takes back what can\'t be completed any more', row: {}, evidence: good, now: 9.4 * minute, expected: 'revert',
		},
	])('$name', ({row, evidence, now, expected}) => {
		expect(decideRollout(getRow(row), evidence, now).kind).toBe(expected);
	});
});

describe('a good version whose steps come late', () => {
	const second = 1000;
	const usualWrite = 300;
	/** The next node of the ranking writes 0.7 s later, for the 4 s until the lost one is out of the list of members. */
	const writeOfNext = 950;
	const silence = 4 * second;
	test.each([
		{
			name: 'the node that writes is lost at the start', deadline: 12 * second, lostAt: 0, sampledFrom: 0,
		},
		{
			name: 'the node that writes is lost near the end', deadline: 12 * second, lostAt: 8 * second, sampledFrom: 0,
		},
		{
			name: 'the watched share brings its requests slowly', deadline: 12 * second, lostAt: Infinity, sampledFrom: 5 * second,
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
	])('$name: it is done in time', ({deadline, lostAt, sampledFrom}) => {
		let row = startRollout({...rollout, deadline: new Date(deadline).toISOString()}, {instances: 3, configurationVersion: 1}, 0);
		let wantedAt: number | undefined;
		for (let now = 0; row.phase === 'running'; now += 50) {
			const judged = now < sampledFrom ? 0 : 1000;
			const writeDelay = now >= lostAt && now < lostAt + silence ? writeOfNext : usualWrite;
			const decision = decideRollout(row, {...good, evaluatedRequests: judged, stepRequests: judged}, now);
			wantedAt = decision.kind === 'hold' ? undefined : wantedAt ?? now;
			if (decision.kind !== 'hold' && now >= wantedAt! + writeDelay) {
				row = changeRollout(row, decision, now);
				wantedAt = undefined;
			}
		}

		expect(row.phase, row.reason).toBe('done');
	});
});

test('a rollout with too little traffic is taken back and says so', () => {
	const decision = decideRollout(getRow({step: 2}), {...good, evaluatedRequests: 22}, 9.4 * minute);
	expect(decision).toMatchObject({kind: 'revert', reason: expect.stringContaining('too little traffic to evaluate: 22 of 50 requests') as string});
});

describe('a change of the row', () => {
	test.each([
		{phase: 'done' as const, change: 'revert' as const},
		{phase: 'reverted' as const, change: 'complete' as const},
		{phase: 'reverted' as const, change: 'resume' as const},
		{phase: 'halted' as const, change: 'advance' as const},
		{phase: 'halted' as const, change: 'complete' as const},
		{phase: 'running' as const, change: 'resume' as const},
	])('from $phase by $change breaks an invariant', ({phase, change}) => {
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

	test('by an operator starts a new attempt at the first step', () => {
		const halted = changeRollout(getRow({step: 3}), {kind: 'halt', reason: 'operator'}, 1);
		expect(changeRollout(halted, {kind: 'resume', reason: 'operator'}, 2)).toMatchObject({
			phase: 'running', attempt: 2, step: 0, startedAt: 2,
		});
	});
});
