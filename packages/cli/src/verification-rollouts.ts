/**
 * Randomised run of rollouts: nodes die, freeze and are cut off, messages and
 * answers of the table are lost, late or repeated, the table has outages at any
 * step and across the deadline, and an operator halts while steps commit.
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

const faultKinds = ['table-outage', 'freeze', 'kill', 'cut', 'operator'] as const;
const rolloutName = 'pricing-2';
const instanceCount = 4;
const tickMilliseconds = 500;
const requestMilliseconds = 100;
const requestsPerPulse = 2;
const requestsOnWaking = 50;
const shortestDeadline = 15_000;
const longestDeadline = 30_000;
/** After the deadline and the last fault: time for the row to end and for all to know. */
const settleMilliseconds = 8000;
/** How long a share may still be used after it was lowered or a halt was seen. */
const restrictionMilliseconds = 3000;
/** Failures that must tell, and the time from them to the last request, by evidence and halt. */
const tellingFailures = 10;
const detectionMilliseconds = 2500 + restrictionMilliseconds;
const clockTolerance = 100;
const roundingTolerance = 1e-6;

type Verdict = {readonly phase: RolloutRow['phase']; readonly at: number};

/** What the run has seen, for the invariants. */
type Watch = {
	readonly random: Random;
	readonly fleet: RolloutFleet;
	readonly route: Route;
	readonly targets: readonly Target[];
	readonly deadlineAt: number;
	readonly badFrom: number;
	readonly excess: Map<string, number>;
	readonly shares: Array<{share: number; at: number}>;
	/** Since when each node has known a halt of an attempt while a majority could hear it. */
	readonly knownSince: Map<string, {attempt: number; since: number}>;
	verdict: Verdict | undefined;
	lastFaultAt: number;
	/** Until when faults hindered the nodes, as far as is known. */
	disturbedAt: number;
	failures: number;
	/** When the new version had failed often enough to be found out. */
	shownAt: number;
};

registerVerification({
	name: 'rollouts',
	describe: 'rollouts under lost messages, kills, freezes, cuts, table outages and operators',
	run: runRollout,
});

async function runRollout(seed: number): Promise<void> {
	const random = createRandom(seed);
	const deadlineAt = random.integer(shortestDeadline, longestDeadline);
	const rows: RolloutRow[] = [];
	const configuration = createRolloutConfiguration(deadlineAt, random.integer(2, 10) / 10, instanceCount);
	const fleet = createRolloutFleet({
		random,
		nodes: random.integer(3, 5),
		configuration,
		rollout: rolloutName,
		tickMilliseconds,
		onRow(row, at) {
			checkRow(watch, rows.at(-1), row, at);
			rows.push(row);
		},
		onTick(node) {
			checkNode(watch, node);
		},
	});
	const isBad = random.fraction() < 0.5;
	const watch: Watch = {
		random,
		fleet,
		deadlineAt,
		route: configuration.routes[0]!,
		targets: configuration.targets,
		badFrom: isBad ? random.integer(0, deadlineAt) : Infinity,
		excess: new Map(),
		shares: [],
		knownSince: new Map(),
		verdict: undefined,
		lastFaultAt: 0,
		disturbedAt: 0,
		failures: 0,
		shownAt: Infinity,
	};
	startTraffic(watch);
	scheduleFaults(watch);
	await fleet.runUntil(deadlineAt);
	await fleet.runUntil(Math.max(deadlineAt, watch.lastFaultAt) + settleMilliseconds);
	checkEnd(watch);
}

/** A configuration with one service, one route, old and new targets, and a rollout. */
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

function startTraffic(watch: Watch): void {
	const pulse = (): void => {
		for (const node of watch.fleet.nodes) {
			if (node.state === 'live') {
				sendRequests(watch, node, requestsPerPulse);
			}
		}

		watch.fleet.schedule(requestMilliseconds, pulse);
	};

	pulse();
}

function sendRequests(watch: Watch, node: FleetNode, count: number): void {
	for (let request = 0; request < count; request++) {
		const choice = node.chooser.chooseForRoute(watch.route);
		const version = choice.version ?? '1';
		checkRequest(watch, node, version === '2');
		const isFailing = version === '2' && watch.fleet.now() >= watch.badFrom;
		const result: AttemptResult = {kind: isFailing ? 'failed' : 'answered', milliseconds: watch.random.integer(5, 20)};
		if (isFailing) {
			countFailure(watch);
		}

		choice.recordOutcome(isFailing ? 'failed' : 'good');
		const {route, targets} = watch;
		const target = targets.find(candidate => candidate.version === version);
		if (target) {
			node.task.collector?.recordAttempt(route, target, result, watch.fleet.now());
		}
	}
}

function countFailure(watch: Watch): void {
	const now = watch.fleet.now();
	watch.failures += 1;
	if (watch.failures === tellingFailures) {
		watch.shownAt = now;
	}

	const isDone = watch.verdict?.phase === 'done';
	const undisturbedSince = Math.max(watch.shownAt, watch.disturbedAt);
	assertInvariant(isDone || now <= undisturbedSince + detectionMilliseconds, 'a bad version gets nothing soon after its badness shows', {now, undisturbedSince});
}

function checkRequest(watch: Watch, node: FleetNode, isNew: boolean): void {
	const now = watch.fleet.now();
	const share = getLargestShare(watch, now);
	const excess = Math.max(0, (watch.excess.get(node.name) ?? 0) + (isNew ? 1 : 0) - share);
	watch.excess.set(node.name, excess);
	const isDone = watch.verdict?.phase === 'done';
	assertInvariant(excess <= 1 + roundingTolerance, 'new version <= share x requests + 1 per node', {
		node: node.name, now, share, excess,
	});
	assertInvariant(!isNew || isDone || now < watch.deadlineAt + clockTolerance, 'nothing at the new version past the deadline unless done', {node: node.name, now});
	if (isNew && !isDone) {
		const haltedSince = getHaltedSince(watch, node.task.follower.row?.attempt ?? 0);
		assertInvariant(now <= haltedSince + restrictionMilliseconds, 'nothing at the new version 3 s after the halt', {node: node.name, now, haltedSince});
	}
}

/** Since when a node has known the halt and could tell it all the time; a node that stops before it can tell doesn't count. */
function getHaltedSince({fleet, knownSince}: Watch, attempt: number): number {
	const times = fleet.nodes
		.filter(node => node.state === 'live' && knownSince.get(node.name)?.attempt === attempt)
		.map(node => knownSince.get(node.name)?.since ?? Infinity);
	return Math.min(Infinity, ...times);
}

/** The largest share that the table held within the time that a restriction may take. */
function getLargestShare(watch: Watch, now: number): number {
	let largest = 0;
	for (let index = watch.shares.length - 1; index >= 0; index--) {
		const entry = watch.shares[index]!;
		largest = Math.max(largest, entry.share);
		if (entry.at <= now - restrictionMilliseconds) {
			break;
		}
	}

	return largest;
}

function checkRow(watch: Watch, last: RolloutRow | undefined, row: RolloutRow, at: number): void {
	watch.shares.push({share: getRolloutShare(row), at});
	const isSameAttempt = last?.attempt === row.attempt;
	assertInvariant(!last || !isFinal(last), 'a rollout ends once in the table', {last: last?.phase, phase: row.phase});
	assertInvariant(!isSameAttempt || last?.phase !== 'halted' || row.phase === 'reverted', 'a halt is undone by an operator alone', {phase: row.phase});
	assertInvariant(!isSameAttempt || row.step <= last.step + 1, 'steps aren\'t skipped', {step: row.step});
	if (isFinal(row)) {
		watch.verdict = {phase: row.phase, at};
	}

	assertInvariant(row.phase !== 'done' || at < watch.deadlineAt, 'done is committed before the deadline', {at, deadlineAt: watch.deadlineAt});
}

function checkNode(watch: Watch, node: FleetNode): void {
	const {row} = node.task.follower;
	if (!row) {
		return;
	}

	assertInvariant(!isFinal(row) || row.phase === watch.verdict?.phase, 'a node ends a rollout as the table does', {node: node.name, phase: row.phase, verdict: watch.verdict?.phase});
	const {attempt} = row;
	const known = watch.knownSince.get(node.name);
	if (!isHalted(node.task.follower) || !isHeardByMajority(watch, node)) {
		watch.knownSince.delete(node.name);
	} else if (known?.attempt !== attempt) {
		watch.knownSince.set(node.name, {attempt, since: watch.fleet.now()});
	}
}

function isHeardByMajority(watch: Watch, node: FleetNode): boolean {
	const {nodes, faults} = watch.fleet;
	const reachable = nodes.filter(other => other.state === 'live' && !faults.isCut(node.name, other.name));
	return reachable.length > nodes.length / 2;
}

function checkEnd(watch: Watch): void {
	const row = watch.fleet.getRow();
	assertInvariant(row !== undefined && isFinal(row), 'a rollout is done or reverted once the table is back', {phase: row?.phase, step: row?.step});
	for (const node of watch.fleet.nodes.filter(({state}) => state === 'live')) {
		assertInvariant(node.task.follower.row?.phase === row.phase, 'all nodes know how the rollout ended', {node: node.name, phase: node.task.follower.row?.phase, verdict: row.phase});
		const isNew = node.chooser.choose('pricing') === '2';
		assertInvariant(isNew === (row.phase === 'done'), 'all nodes serve the version of the verdict', {node: node.name, isNew});
	}
}

function scheduleFaults(watch: Watch): void {
	const {random, fleet, deadlineAt} = watch;
	fleet.faults.messageLossShare = random.integer(0, 2) / 10;
	fleet.faults.messageRepeatShare = random.integer(0, 3) / 10;
	fleet.faults.longestMessageLag = random.integer(2, 200);
	fleet.faults.answerLossShare = random.integer(0, 3) / 10;
	fleet.faults.longestWriteLag = random.integer(2, 1200);
	const count = random.integer(0, 4);
	for (let index = 0; index < count; index++) {
		const startsAt = random.integer(0, deadlineAt);
		const lasts = random.integer(500, 8000);
		watch.lastFaultAt = Math.max(watch.lastFaultAt, startsAt + lasts);
		scheduleFault(watch, startsAt, lasts);
	}
}

function scheduleFault(watch: Watch, startsAt: number, lasts: number): void {
	const {random, fleet} = watch;
	const node = fleet.nodes[random.integer(0, fleet.nodes.length - 1)]!;
	const during = (begin: () => void, end: () => void): void => {
		fleet.schedule(startsAt, () => {
			watch.knownSince.clear();
			watch.disturbedAt = startsAt + lasts;
			begin();
		});
		fleet.schedule(startsAt + lasts, () => {
			watch.disturbedAt = fleet.now();
			end();
		});
	};

	const kind = faultKinds[random.integer(0, faultKinds.length - 1)]!;
	switch (kind) {
		case 'table-outage': {
			during(() => {
				fleet.faults.isTableDown = true;
			}, () => {
				fleet.faults.isTableDown = false;
			});
			return;
		}

		case 'freeze': {
			during(() => {
				node.state = node.state === 'live' ? 'frozen' : node.state;
			}, () => {
				// A frozen node's first act on waking is a request that waited.
				if (node.state === 'frozen') {
					node.state = 'live';
					sendRequests(watch, node, requestsOnWaking);
					fleet.wake(node);
				}
			});
			return;
		}

		case 'kill': {
			during(() => {
				node.state = 'dead';
			}, () => {
				fleet.restart(node);
			});
			return;
		}

		case 'cut': {
			const isTableCut = random.fraction() < 0.5;
			during(() => {
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
				void changeByOperator(watch, node, 'halt');
			});
			if (random.fraction() < 0.5) {
				fleet.schedule(startsAt + lasts, () => {
					void changeByOperator(watch, node, 'resume');
				});
			}
		}
	}
}

/** What the operator's action does: halts the node at once, then changes the row. */
async function changeByOperator({fleet}: Watch, node: FleetNode, kind: 'halt' | 'resume'): Promise<void> {
	if (node.state !== 'live') {
		return;
	}

	if (kind === 'halt') {
		haltRollout(node.task, 'operator');
	}

	const read = await fleet.table.get(`rollout/${rolloutName}`);
	const row = read.kind === 'done' ? read.value?.value as RolloutRow | undefined : undefined;
	const isWanted = row && !isFinal(row) && (row.phase === 'halted') === (kind === 'resume');
	if (isWanted && read.kind === 'done' && read.value) {
		const value = changeRollout(row, {kind, reason: 'operator'}, fleet.now());
		await fleet.table.transact(`operator-${kind}`, [{key: read.value.key, expectedVersion: read.value.version, value}]);
	}
}
