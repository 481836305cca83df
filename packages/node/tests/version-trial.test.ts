/** Moves to new versions whose record is lost, late or unread: what counts is what the record says. */
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {createManualClock, createSilentLogger, rankMembers} from '@catkindale/common';
import {type MessageBus, createMessageBus} from '@catkindale/kernel';
import type {Member} from '@catkindale/policy';
import type {TrialState} from '@catkindale/protocol';
import {applyTrialRecord} from '../src/apply-trial-record.js';
import {endVersionTrial} from '../src/end-version-trial.js';
import type {NodeMessage} from '../src/node-messages.js';
import type {StoredTrialRecord, TrialRecordStore} from '../src/trial-record-store.js';
import {advanceTrial} from '../src/version-trial-leader.js';
import {createTrialRecords} from '../src/version-trial-records.js';
import {startVersionTrials} from '../src/version-trial-task.js';
import {type Trial, type VersionTrials, createVersionTrials} from '../src/version-trials.js';

const tickMilliseconds = 250;
const durationMilliseconds = 12_000;
/** After which a call without an answer is given up. */
const callMilliseconds = 1500;
const logger = createSilentLogger();

/** What becomes of the calls of the store in a span of time. */
type StoreFault = {
	readonly from: number;
	readonly until: number;
	readonly kind: 'down' | 'answers lost' | 'silent' | 'times out';
	/** The gateways whose calls alone are concerned; all if absent. */
	readonly of?: ReadonlyArray<string | undefined>;
};

/** A store whose row, which gateways may share, is what the operator acts on. */
function createBoard(faults: readonly StoreFault[], now: () => number, shared: {row?: StoredTrialRecord} = {}): TrialRecordStore & {row: () => StoredTrialRecord | undefined} {
	const find = (): StoreFault | undefined => faults.find(({from, until}) => now() >= from && now() < until);
	const waitWhileSilent = async (): Promise<void> => {
		const fault = find();
		if (fault?.kind === 'silent') {
			await new Promise(resolve => {
				setTimeout(resolve, fault.until - now());
			});
		}
	};

	return {
		row: () => shared.row,
		async read() {
			await waitWhileSilent();
			return ['down', 'times out'].includes(find()?.kind ?? '') ? {kind: 'not-done', reason: 'down'} : {kind: 'done', value: shared.row ? [shared.row] : []};
		},
		async write(record, expectedRowVersion) {
			await waitWhileSilent();
			const fault = find();
			if (fault?.kind === 'down') {
				return {kind: 'not-done', reason: 'down'};
			}

			if (fault?.kind === 'times out') {
				await new Promise(resolve => {
					setTimeout(resolve, callMilliseconds);
				});
				return {kind: 'unknown', reason: 'no answer'};
			}

			if (expectedRowVersion !== (shared.row?.rowVersion ?? 0)) {
				return {kind: 'conflict'};
			}

			shared.row = {...record, rowVersion: expectedRowVersion + 1};
			return fault ? {kind: 'unknown', reason: 'answer lost'} : {kind: 'done', value: shared.row.rowVersion};
		},
	};
}

function createTrial(): {readonly trials: VersionTrials; readonly trial: Trial} {
	const trials = createVersionTrials();
	trials.setOrders([{
		service: 'pricing', version: '2', revision: 1, durationMilliseconds,
	}], 0);
	const trial = trials.get('pricing')!;
	trial.ownCounts.set('lookup', {trial: {requests: 100, failures: 0, slow: 0}, settled: {requests: 1000, failures: 0, slow: 0}});
	return {trials, trial};
}

describe('where requests outside a trial go', () => {
	const first = {
		service: 'pricing', version: '2', revision: 1, durationMilliseconds,
	};
	const second = {
		service: 'pricing', version: '3', revision: 2, durationMilliseconds,
	};
	const cases: ReadonlyArray<{name: string; ends: readonly TrialState[]; allowed: readonly string[]}> = [
		{name: 'to the old version during the first move', ends: ['running'], allowed: ['1']},
		{name: 'to the new one once the move is complete', ends: ['complete'], allowed: ['2']},
		{name: 'to the old one once the move is taken back', ends: ['reverted'], allowed: ['1']},
		{name: 'to the version of the last complete move during the next', ends: ['complete', 'running'], allowed: ['2']},
		{name: 'to the version of the last complete move once the next is taken back', ends: ['complete', 'reverted'], allowed: ['2']},
		{name: 'to the version of the last complete move', ends: ['complete', 'complete'], allowed: ['3']},
		{name: 'to the old one after two that were taken back', ends: ['reverted', 'reverted'], allowed: ['1']},
	];
	it.each(cases)('$name', ({ends, allowed}) => {
		const clock = createManualClock();
		const trials = createVersionTrials();
		for (const [index, order] of [first, second].slice(0, ends.length).entries()) {
			trials.setOrders([order], clock.monotonic());
			const end = ends[index];
			if (end === 'complete' || end === 'reverted') {
				endVersionTrial(trials.get('pricing')!, end, 'test', {clock, logger});
			}
		}

		const plan = trials.planOutsideTrial('pricing');
		const versions = ['1', first.version, second.version].slice(0, ends.length + 1);
		expect(versions.filter(version => plan.allows(version))).toEqual(allowed);
	});
});

describe('the gateway that leads a move', () => {
	const cases: ReadonlyArray<{name: string; faults: readonly StoreFault[]; haltedAt?: number; state: TrialState}> = [
		{name: 'completes it', faults: [], state: 'complete'},
		{name: 'completes it when the store comes back in time', faults: [{from: 9000, until: 11_000, kind: 'down'}], state: 'complete'},
		{name: 'takes it back when the store is away to the end', faults: [{from: 9000, until: 20_000, kind: 'down'}], state: 'reverted'},
		{name: 'completes it when the answer to that word is lost', faults: [{from: 9500, until: 10_200, kind: 'answers lost'}], state: 'complete'},
		{
			name: 'keeps to the recorded completion, learnt after the deadline',
			faults: [{from: 9500, until: 10_100, kind: 'answers lost'}, {from: 10_100, until: 20_000, kind: 'down'}],
			state: 'complete',
		},
		{
			name: 'keeps to the recorded completion when the version fails before it is learnt',
			faults: [{from: 9500, until: 10_100, kind: 'answers lost'}, {from: 10_100, until: 11_000, kind: 'down'}],
			haltedAt: 10_500,
			state: 'complete',
		},
		{
			name: 'takes it back when its first word is lost', faults: [{from: 0, until: 500, kind: 'answers lost'}], haltedAt: 3000, state: 'reverted',
		},
	];
	it.each(cases)('$name', async ({faults, haltedAt, state}) => {
		const clock = createManualClock();
		const board = createBoard(faults, () => clock.monotonic());
		const records = createTrialRecords({store: board, clock, logger});
		const {trials, trial} = createTrial();
		const halt = (halted: Trial): void => {
			endVersionTrial(halted, 'reverted', 'halted', {clock, logger});
		};

		for (let now = 0; now < 2 * durationMilliseconds; now += tickMilliseconds) {
			if (now === haltedAt) {
				halt(trial);
			}

			if (!records.isCurrent()) {
				for (const record of await records.read()) {
					applyTrialRecord(trials, record, {clock, logger});
				}
			}

			if (records.isCurrent()) {
				await advanceTrial(trial, {
					records, clock, logger, halt,
				});
			}

			clock.advance(tickMilliseconds);
		}

		expect({told: trial.state, recorded: board.row()?.state}).toEqual({told: state, recorded: state});
	});
});

function getMember(id: string): Member {
	return {
		id, incarnation: '1', region: 'oslo', zone: 'oslo-a', callerAddress: '', peerAddress: '', state: 'live', isEntry: true,
	};
}

const names = ['a', 'b', 'c'];
/** The one that ranks first for the service leads. */
const [leading, follower, last] = rankMembers('pricing', names.map(id => ({id}))).map(({id}) => id);
const stepMilliseconds = tickMilliseconds / 5;
const order = {
	service: 'pricing', version: '2', revision: 1, durationMilliseconds,
};
const nextOrder = {...order, version: '3', revision: 2};

/** Between these times no message leaves or reaches the gateway. */
type Cut = {readonly id: string | undefined; readonly from: number; readonly until: number};

type Gateway = {readonly id: string; readonly bus: MessageBus<NodeMessage>; readonly trials: VersionTrials; readonly stop: () => Promise<void>};

/** Gateways that hear each other but for the cut, as time passes. */
function startGateways(faults: readonly StoreFault[], cut?: Cut) {
	const clock = createManualClock();
	const shared: {row?: StoredTrialRecord} = {};
	const gateways = new Map<string, Gateway>();
	const isCut = (id: string): boolean => id === cut?.id && clock.monotonic() >= cut.from && clock.monotonic() < cut.until;
	const start = (id: string): void => {
		const bus = createMessageBus<NodeMessage>();
		const trials = createVersionTrials();
		const task = startVersionTrials(id, {
			bus, clock, logger, trials, trialRecordStore: createBoard(faults.filter(({of}) => !of || of.includes(id)), clock.monotonic, shared),
		});
		bus.subscribe('peer-broadcast', ({message}) => {
			for (const other of gateways.values()) {
				if (other.id !== id && !isCut(id) && !isCut(other.id)) {
					other.bus.publish({type: 'peer-received', from: id, message});
				}
			}
		});
		bus.subscribe('peer-send', ({to, message}) => {
			gateways.get(to)?.bus.publish({type: 'peer-received', from: id, message});
		});
		bus.publish({type: 'serving-gateways-changed', members: names.map(name => getMember(name))});
		gateways.set(id, {
			id, bus, trials, stop: async () => task.stop(),
		});
		for (const other of gateways.values()) {
			if (other.id !== id) {
				bus.publish({type: 'peer-connected', id: other.id});
				other.bus.publish({type: 'peer-connected', id});
			}
		}
	};

	for (const id of names) {
		start(id);
	}

	return {
		gateways,
		/** In place of the one that had the name. */
		start,
		order(ordered: typeof order) {
			for (const {bus} of gateways.values()) {
				bus.publish({type: 'traffic-orders-changed', orders: {revision: ordered.revision, versions: [ordered], evacuatedZones: []}});
			}
		},
		async pass(until: number, count?: (gateway: Gateway, now: number) => void) {
			while (clock.monotonic() < until) {
				for (const gateway of gateways.values()) {
					count?.(gateway, clock.monotonic());
				}

				clock.advance(stepMilliseconds);
				await vi.advanceTimersByTimeAsync(stepMilliseconds);
			}
		},
		async stop() {
			const stops = [...gateways.values()].map(async gateway => gateway.stop());
			await vi.runAllTimersAsync();
			await Promise.all(stops);
		},
	};
}

function countGood({trials}: Gateway): void {
	for (const version of ['1', '2', '3']) {
		trials.recordAttempt('pricing', 'lookup', version, 'good');
	}
}

describe('gateways of which one is cut off, or whose store is', () => {
	beforeEach(() => {
		vi.useFakeTimers();
	});

	afterEach(() => {
		vi.useRealTimers();
	});

	const cases: ReadonlyArray<{name: string; faults: readonly StoreFault[]; cut?: Cut; within: number}> = [
		{name: 'all learn the end', faults: [], within: 10_500},
		{
			name: 'one that missed the completion reads it', faults: [], cut: {id: follower, from: 9000, until: 20_000}, within: 11_500,
		},
		{
			name: 'one that missed the completion while the store was away reads it later',
			faults: [{from: 10_100, until: 15_000, kind: 'down'}],
			cut: {id: follower, from: 9000, until: 20_000},
			within: 16_500,
		},
		{
			name: 'another completes the move in time when the leader alone can\'t reach the store', faults: [{
				from: 5000, until: 30_000, kind: 'down', of: [leading],
			}], within: 11_500,
		},
		{
			name: 'another does when the store gives no answer to the leader alone', faults: [{
				from: 5000, until: 30_000, kind: 'times out', of: [leading],
			}], within: 11_900,
		},
		{
			name: 'another does when the leader never reached the store', faults: [{
				from: 0, until: 30_000, kind: 'down', of: [leading],
			}], within: 11_500,
		},
		{
			name: 'the last one does when no other reaches the store', faults: [{
				from: 5000, until: 30_000, kind: 'down', of: [leading, follower],
			}], within: 11_500,
		},
		{
			name: 'the leader completes it when the others can\'t reach the store', faults: [{
				from: 0, until: 30_000, kind: 'down', of: [follower, last],
			}], within: 11_500,
		},
	];
	it.each(cases)('$name', async ({faults, cut, within}) => {
		const fleet = startGateways(faults, cut);
		fleet.order(order);
		await fleet.pass(within, countGood);
		expect([...fleet.gateways.values()].map(({trials}) => trials.get('pricing')?.state)).toEqual(names.map(() => 'complete'));
		await fleet.stop();
	});

	it('failures are added up while the store is silent', async () => {
		const fleet = startGateways([{from: 0, until: 8000, kind: 'silent'}]);
		fleet.order(order);
		let failures = 0;
		await fleet.pass(4000, ({id, trials}, now) => {
			trials.recordAttempt('pricing', 'lookup', '1', 'good');
			if (id !== leading && now >= 2500 && failures < 4) {
				trials.recordAttempt('pricing', 'lookup', '2', 'failed');
				failures += 1;
			}
		});
		expect([...fleet.gateways.values()].map(({trials}) => trials.get('pricing')?.state)).toEqual(names.map(() => 'reverted'));
		await fleet.stop();
	});

	const restarts: ReadonlyArray<{name: string; ordered: ReadonlyArray<typeof order>; allowed: string}> = [
		{name: 'one complete move', ordered: [order], allowed: '2'},
		{name: 'a complete move, during the next', ordered: [order, nextOrder], allowed: '2'},
	];
	it.each(restarts)('one that restarts while the store is down learns from the others where requests go: after $name', async ({ordered, allowed}) => {
		const fleet = startGateways([{from: 14_000, until: 30_000, kind: 'down'}]);
		for (const [index, next] of ordered.entries()) {
			fleet.order(next);
			await fleet.pass(12_500 + (index * 1500), countGood);
		}

		await fleet.pass(15_000, countGood);
		await Promise.all([fleet.gateways.get(follower!)!.stop(), vi.advanceTimersByTimeAsync(tickMilliseconds)]);
		fleet.start(follower!);
		fleet.order(ordered.at(-1)!);
		await fleet.pass(15_500);
		const plan = fleet.gateways.get(follower!)!.trials.planOutsideTrial('pricing');
		expect(['1', '2', '3'].filter(version => plan.allows(version))).toEqual([allowed]);
		await fleet.stop();
	});

	const nextMoves: ReadonlyArray<{name: string; cut?: Cut; restarted?: string | undefined}> = [
		{name: 'all learnt'},
		{name: 'one missed', cut: {id: follower, from: 9000, until: 12_000}},
		{name: 'the leader missed', cut: {id: leading, from: 9000, until: 12_000}},
		{name: 'isn\'t known to the leader, which restarted', restarted: leading},
		{name: 'isn\'t known to one that restarted', restarted: follower},
	];
	it.each(nextMoves)('a move after one whose completion $name: the old targets of the first get nothing', async ({cut, restarted}) => {
		const fleet = startGateways([], cut);
		fleet.order(order);
		await fleet.pass(12_000, countGood);
		fleet.order(nextOrder);
		await fleet.pass(13_000, countGood);
		if (restarted !== undefined) {
			await Promise.all([fleet.gateways.get(restarted)!.stop(), vi.advanceTimersByTimeAsync(tickMilliseconds)]);
			fleet.start(restarted);
			fleet.order(nextOrder);
		}

		await fleet.pass(15_000, countGood);
		const plans = [...fleet.gateways.values()].map(({trials}) => trials.planOutsideTrial('pricing'));
		expect(plans.map(plan => ['1', '2', '3'].filter(version => plan.allows(version)))).toEqual(names.map(() => ['2']));
		await fleet.stop();
	});
});
