/**
 * Randomised verification of rollouts: nodes are killed, paused and cut off,
 * messages are lost, delayed or repeated, table responses are lost or late, the
 * table has outages at any step and across the deadline, and an operator halts
 * and resumes while steps commit.
 */
import {
	type Random, assertInvariant, createRandom,
} from '@catkindale/common';
import {haltRollout, type AttemptResult} from '@catkindale/node';
import {
	type Configuration, type RolloutRow, type Route, type Target, changeRollout, configurationSchema, getRolloutShare, isFinal, isHalted,
} from '@catkindale/policy';
import {type FleetNode, type RolloutFleet, createRolloutFleet} from './rollout-fleet.js';
import {registerVerification} from './verification-registry.js';

const faultKinds = ['table-outage', 'pause', 'kill', 'cut', 'operator'] as const;
const rolloutName = 'pricing-2';
const instanceCount = 4;
const tickMilliseconds = 500;
const requestIntervalMilliseconds = 100;
const requestsPerInterval = 2;
const requestsOnResume = 50;
const minimumDeadlineMilliseconds = 15_000;
const maximumDeadlineMilliseconds = 30_000;
/** Time after the deadline and the last fault in which the row reaches a final phase and all nodes receive it. */
const settleMilliseconds = 8000;
/** Maximum time for which a share may still be used after it was reduced or a halt was received. */
const restrictionMilliseconds = 3000;
/** Number of failures after which a faulty version must be detected. */
const detectableFailures = 10;
/** Maximum time from the last of these failures to the last request at the faulty version: 2500 ms for evidence and halt, then the restriction. */
const detectionMilliseconds = 2500 + restrictionMilliseconds;
const clockToleranceMilliseconds = 100;
const roundingTolerance = 1e-6;

type Outcome = {readonly phase: RolloutRow['phase']; readonly at: number};

/** State of a run, with the observations that the invariants are checked against. */
type RunState = {
	readonly random: Random;
	readonly fleet: RolloutFleet;
	readonly route: Route;
	readonly targets: readonly Target[];
	readonly deadlineAt: number;
	readonly failsFrom: number;
	/** Each node's requests at the new version in excess of its share, never below 0. */
	readonly excess: Map<string, number>;
	readonly shares: Array<{share: number; at: number}>;
	/** The time since which each node has had a halt of an attempt and could reach a majority without a break. */
	readonly haltKnownSince: Map<string, {attempt: number; since: number}>;
	outcome: Outcome | undefined;
	faultsEndAt: number;
	/** End of the last fault that has started so far. */
	disturbedUntil: number;
	failures: number;
	/** The time of the failure after which the new version must be detected as faulty. */
	detectableAt: number;
};

registerVerification({
	name: 'rollouts',
	describe: 'rollouts under lost messages, kills, pauses, network cuts, table outages and operator actions',
	run: runRollout,
});

async function runRollout(seed: number): Promise<void> {
	const random = createRandom(seed);
	const deadlineAt = random.integer(minimumDeadlineMilliseconds, maximumDeadlineMilliseconds);
	const rows: RolloutRow[] = [];
	const configuration = createRolloutConfiguration(deadlineAt, random.integer(2, 10) / 10, instanceCount);
	const fleet = createRolloutFleet({
		random,
		nodeCount: random.integer(3, 5),
		configuration,
		rollout: rolloutName,
		tickMilliseconds,
		onRow(row, at) {
			checkRow(run, rows.at(-1), row, at);
			rows.push(row);
		},
		onTick(node) {
			checkNode(run, node);
		},
	});
	const isFailingVersion = random.fraction() < 0.5;
	const run: RunState = {
		random,
		fleet,
		deadlineAt,
		route: configuration.routes[0]!,
		targets: configuration.targets,
		failsFrom: isFailingVersion ? random.integer(0, deadlineAt) : Infinity,
		excess: new Map(),
		shares: [],
		haltKnownSince: new Map(),
		outcome: undefined,
		faultsEndAt: 0,
		disturbedUntil: 0,
		failures: 0,
		detectableAt: Infinity,
	};
	startTraffic(run);
	scheduleFaults(run);
	await fleet.runUntil(deadlineAt);
	await fleet.runUntil(Math.max(deadlineAt, run.faultsEndAt) + settleMilliseconds);
	checkOutcome(run);
}

/** Creates a configuration with one service, one route, targets of the old and the new version, and a rollout. */
export function createRolloutConfiguration(deadlineAt: number, cap: number, instances: number): Configuration {
	const targets = ['1', '2'].flatMap(version => Array.from({length: instances}, (_, index) => ({
		name: `pricing-${version}-${index}`, service: 'pricing', version, region: 'oslo', zone: 'oslo-a', address: '127.0.0.1:1', slots: 4,
	})));
	return configurationSchema.parse({
		regions: [{name: 'oslo', zones: ['oslo-a']}],
		services: [{name: 'pricing', version: '1'}],
		routes: [{
			service: 'pricing', method: 'GET', path: '/prices', idempotent: true,
		}],
		targets,
		rollouts: [{
			name: rolloutName, service: 'pricing', from: '1', to: '2', deadline: new Date(deadlineAt).toISOString(), cap,
		}],
	});
}

function startTraffic(run: RunState): void {
	const sendAtIntervals = (): void => {
		for (const node of run.fleet.nodes) {
			if (node.state === 'live') {
				sendRequests(run, node, requestsPerInterval);
			}
		}

		run.fleet.schedule(requestIntervalMilliseconds, sendAtIntervals);
	};

	sendAtIntervals();
}

function sendRequests(run: RunState, node: FleetNode, count: number): void {
	for (let request = 0; request < count; request++) {
		const choice = node.chooser.chooseForRoute(run.route);
		const version = choice.version ?? '1';
		checkRequest(run, node, version === '2');
		const isFailing = version === '2' && run.fleet.now() >= run.failsFrom;
		const result: AttemptResult = {kind: isFailing ? 'failed' : 'answered', milliseconds: run.random.integer(5, 20)};
		if (isFailing) {
			countFailure(run);
		}

		choice.recordOutcome(isFailing ? 'failed' : 'good');
		const {route, targets} = run;
		const target = targets.find(candidate => candidate.version === version);
		if (target) {
			node.task.collector?.recordAttempt(route, target, result, run.fleet.now());
		}
	}
}

function countFailure(run: RunState): void {
	const now = run.fleet.now();
	run.failures += 1;
	if (run.failures === detectableFailures) {
		run.detectableAt = now;
	}

	const isDone = run.outcome?.phase === 'done';
	const undisturbedSince = Math.max(run.detectableAt, run.disturbedUntil);
	assertInvariant(isDone || now <= undisturbedSince + detectionMilliseconds, 'a failing version gets no requests soon after it can be detected', {now, undisturbedSince});
}

function checkRequest(run: RunState, node: FleetNode, isNew: boolean): void {
	const now = run.fleet.now();
	const share = getMaximumShare(run, now);
	const excess = Math.max(0, (run.excess.get(node.name) ?? 0) + (isNew ? 1 : 0) - share);
	run.excess.set(node.name, excess);
	const isDone = run.outcome?.phase === 'done';
	assertInvariant(excess <= 1 + roundingTolerance, 'requests at the new version <= share x requests + 1 per node', {
		node: node.name, now, share, excess,
	});
	assertInvariant(!isNew || isDone || now < run.deadlineAt + clockToleranceMilliseconds, 'no request at the new version past the deadline unless the rollout is done', {node: node.name, now});
	if (isNew && !isDone) {
		const haltedSince = getHaltedSince(run, node.task.follower.row?.attempt ?? 0);
		assertInvariant(now <= haltedSince + restrictionMilliseconds, 'no request at the new version more than 3 s after the halt', {node: node.name, now, haltedSince});
	}
}

/** The earliest time since which a live node has had the halt and could send it to a majority without a break; a node that stopped before it could send it doesn't count. */
function getHaltedSince({fleet, haltKnownSince}: RunState, attempt: number): number {
	const times = fleet.nodes
		.filter(node => node.state === 'live' && haltKnownSince.get(node.name)?.attempt === attempt)
		.map(node => haltKnownSince.get(node.name)?.since ?? Infinity);
	return Math.min(Infinity, ...times);
}

/** Returns the maximum share that the table held within the time that a restriction may take. */
function getMaximumShare(run: RunState, now: number): number {
	let maximumShare = 0;
	for (let index = run.shares.length - 1; index >= 0; index--) {
		const record = run.shares[index]!;
		maximumShare = Math.max(maximumShare, record.share);
		if (record.at <= now - restrictionMilliseconds) {
			break;
		}
	}

	return maximumShare;
}

function checkRow(run: RunState, last: RolloutRow | undefined, row: RolloutRow, at: number): void {
	run.shares.push({share: getRolloutShare(row), at});
	const isSameAttempt = last?.attempt === row.attempt;
	assertInvariant(!last || !isFinal(last), 'a final phase of a rollout never changes', {last: last?.phase, phase: row.phase});
	assertInvariant(!isSameAttempt || last?.phase !== 'halted' || row.phase === 'reverted', 'only an operator undoes a halt', {phase: row.phase});
	assertInvariant(!isSameAttempt || row.step <= last.step + 1, 'no step is skipped', {step: row.step});
	if (isFinal(row)) {
		run.outcome = {phase: row.phase, at};
	}

	assertInvariant(row.phase !== 'done' || at < run.deadlineAt, 'the phase done is committed before the deadline', {at, deadlineAt: run.deadlineAt});
}

function checkNode(run: RunState, node: FleetNode): void {
	const {row} = node.task.follower;
	if (!row) {
		return;
	}

	assertInvariant(!isFinal(row) || row.phase === run.outcome?.phase, 'a node\'s final phase equals the table\'s', {node: node.name, phase: row.phase, outcome: run.outcome?.phase});
	const {attempt} = row;
	const previous = run.haltKnownSince.get(node.name);
	if (!isHalted(node.task.follower) || !canReachMajority(run, node)) {
		run.haltKnownSince.delete(node.name);
	} else if (previous?.attempt !== attempt) {
		run.haltKnownSince.set(node.name, {attempt, since: run.fleet.now()});
	}
}

function canReachMajority(run: RunState, node: FleetNode): boolean {
	const {nodes, faults} = run.fleet;
	const reachable = nodes.filter(other => other.state === 'live' && !faults.isCut(node.name, other.name));
	return reachable.length > nodes.length / 2;
}

function checkOutcome(run: RunState): void {
	const row = run.fleet.getRow();
	assertInvariant(row !== undefined && isFinal(row), 'a rollout is done or reverted once the table is available again', {phase: row?.phase, step: row?.step});
	for (const node of run.fleet.nodes.filter(({state}) => state === 'live')) {
		assertInvariant(node.task.follower.row?.phase === row.phase, 'all nodes have the final phase of the rollout', {node: node.name, phase: node.task.follower.row?.phase, outcome: row.phase});
		const isNew = node.chooser.choose('pricing') === '2';
		assertInvariant(isNew === (row.phase === 'done'), 'all nodes serve the version of the final phase', {node: node.name, isNew});
	}
}

function scheduleFaults(run: RunState): void {
	const {random, fleet, deadlineAt} = run;
	fleet.faults.messageLossFraction = random.integer(0, 2) / 10;
	fleet.faults.messageRepeatFraction = random.integer(0, 3) / 10;
	fleet.faults.maximumMessageLagMilliseconds = random.integer(2, 200);
	fleet.faults.responseLossFraction = random.integer(0, 3) / 10;
	fleet.faults.maximumWriteLagMilliseconds = random.integer(2, 1200);
	const count = random.integer(0, 4);
	for (let index = 0; index < count; index++) {
		const startsAt = random.integer(0, deadlineAt);
		const durationMilliseconds = random.integer(500, 8000);
		run.faultsEndAt = Math.max(run.faultsEndAt, startsAt + durationMilliseconds);
		scheduleFault(run, startsAt, durationMilliseconds);
	}
}

function scheduleFault(run: RunState, startsAt: number, durationMilliseconds: number): void {
	const {random, fleet} = run;
	const node = fleet.nodes[random.integer(0, fleet.nodes.length - 1)]!;
	const scheduleBetween = (begin: () => void, end: () => void): void => {
		fleet.schedule(startsAt, () => {
			run.haltKnownSince.clear();
			run.disturbedUntil = startsAt + durationMilliseconds;
			begin();
		});
		fleet.schedule(startsAt + durationMilliseconds, () => {
			run.disturbedUntil = fleet.now();
			end();
		});
	};

	const kind = faultKinds[random.integer(0, faultKinds.length - 1)]!;
	switch (kind) {
		case 'table-outage': {
			scheduleBetween(() => {
				fleet.faults.isTableDown = true;
			}, () => {
				fleet.faults.isTableDown = false;
			});
			return;
		}

		case 'pause': {
			scheduleBetween(() => {
				node.state = node.state === 'live' ? 'paused' : node.state;
			}, () => {
				// A resumed node handles the requests that waited for it before any message.
				if (node.state === 'paused') {
					node.state = 'live';
					sendRequests(run, node, requestsOnResume);
					fleet.resume(node);
				}
			});
			return;
		}

		case 'kill': {
			scheduleBetween(() => {
				node.state = 'dead';
			}, () => {
				fleet.restart(node);
			});
			return;
		}

		case 'cut': {
			const isTableCut = random.fraction() < 0.5;
			scheduleBetween(() => {
				fleet.faults.isCut = (left, right) => left === node.name || right === node.name;
				fleet.faults.isTableCut = name => isTableCut && name === node.name;
			}, () => {
				fleet.faults.isCut = () => false;
				fleet.faults.isTableCut = () => false;
			});
			return;
		}

		case 'operator': {
			fleet.schedule(startsAt, () => {
				void applyOperatorAction(run, node, 'halt');
			});
			if (random.fraction() < 0.5) {
				fleet.schedule(startsAt + durationMilliseconds, () => {
					void applyOperatorAction(run, node, 'resume');
				});
			}
		}
	}
}

/** Applies an operator's halt or resume at a node: a halt takes effect on the node at once, then the row is changed. */
async function applyOperatorAction({fleet}: RunState, node: FleetNode, kind: 'halt' | 'resume'): Promise<void> {
	if (node.state !== 'live') {
		return;
	}

	if (kind === 'halt') {
		haltRollout(node.task, 'operator');
	}

	const read = await fleet.table.get(`rollout/${rolloutName}`);
	const row = read.kind === 'done' ? read.value?.value as RolloutRow | undefined : undefined;
	const isApplicable = row && !isFinal(row) && (row.phase === 'halted') === (kind === 'resume');
	if (isApplicable && read.kind === 'done' && read.value) {
		const value = changeRollout(row, {kind, reason: 'operator'}, fleet.now());
		await fleet.table.transact(`operator-${kind}`, [{key: read.value.key, expectedVersion: read.value.version, value}]);
	}
}
