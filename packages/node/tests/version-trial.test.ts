/** Moves to new versions whose record is lost, late or unread: what counts is what the record says. */
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {createManualClock, createSilentLogger, rankMembers} from '@catkindale/common';
import {createMessageBus} from '@catkindale/kernel';
import type {Member} from '@catkindale/policy';
import type {TrialState} from '@catkindale/protocol';
import {endVersionTrial} from '../src/end-version-trial.js';
import type {NodeMessage} from '../src/node-messages.js';
import type {StoredTrialRecord, VersionBoard} from '../src/version-board.js';
import {createTrialLeader} from '../src/version-trial-leader.js';
import {createTrialRecords} from '../src/version-trial-records.js';
import {startVersionTrials} from '../src/version-trial-task.js';
import {type Trial, createVersionTrials} from '../src/version-trials.js';

const tickMilliseconds = 250;
const durationMilliseconds = 12_000;
const logger = createSilentLogger();

/** What becomes of the calls of the store in a span of time. */
type StoreFault = {readonly from: number; readonly until: number; readonly kind: 'down' | 'answers lost' | 'silent'};

/** A store whose row is what the operator acts on. */
function createBoard(faults: readonly StoreFault[], now: () => number): VersionBoard & {row: () => StoredTrialRecord | undefined} {
	let row: StoredTrialRecord | undefined;
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
		row: () => row,
		async read() {
			await waitWhileSilent();
			return find()?.kind === 'down' ? {kind: 'not-done', reason: 'down'} : {kind: 'done', value: row ? [row] : []};
		},
		async write(record, expectedRowVersion) {
			await waitWhileSilent();
			const fault = find();
			if (fault?.kind === 'down') {
				return {kind: 'not-done', reason: 'down'};
			}

			if (expectedRowVersion !== (row?.rowVersion ?? 0)) {
				return {kind: 'conflict'};
			}

			row = {...record, rowVersion: expectedRowVersion + 1};
			return fault ? {kind: 'unknown', reason: 'answer lost'} : {kind: 'done', value: row.rowVersion};
		},
	};
}

function createTrial(): Trial {
	const trials = createVersionTrials();
	trials.setOrders([{
		service: 'pricing', version: '2', revision: 1, durationMilliseconds,
	}], 0);
	const trial = trials.get('pricing')!;
	trial.own.set('lookup', {trial: {requests: 100, failures: 0, slow: 0}, settled: {requests: 1000, failures: 0, slow: 0}});
	return trial;
}

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
		const records = createTrialRecords({board, clock, logger});
		const trial = createTrial();
		const halt = (halted: Trial): void => {
			endVersionTrial(halted, 'reverted', 'halted', {clock, logger});
		};

		const leader = createTrialLeader({
			records, clock, logger, halt,
		});
		for (let now = 0; now < 2 * durationMilliseconds; now += tickMilliseconds) {
			if (now === haltedAt) {
				halt(trial);
			}

			if (!records.isKnown()) {
				await leader.readRecords({get: () => trial});
			}

			if (records.isKnown()) {
				await leader.advance(trial);
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

describe('gateways of which one is cut off, or whose store is', () => {
	beforeEach(() => {
		vi.useFakeTimers();
	});

	afterEach(() => {
		vi.useRealTimers();
	});

	const names = ['a', 'b', 'c'];
	/** Between these times no message leaves or reaches the gateway. */
	type Cut = {readonly name: string; readonly from: number; readonly until: number};
	const cases: ReadonlyArray<{name: string; faults: readonly StoreFault[]; cut?: Cut; failuresEach?: number; state: TrialState; within: number}> = [
		{
			name: 'all learn the end', faults: [], state: 'complete', within: 10_500,
		},
		{
			name: 'one that missed the completion reads it', faults: [], cut: {name: 'follower', from: 9000, until: 20_000}, state: 'complete', within: 11_500,
		},
		{
			name: 'one that missed the completion while the store was away reads it later',
			faults: [{from: 10_100, until: 15_000, kind: 'down'}],
			cut: {name: 'follower', from: 9000, until: 20_000},
			state: 'complete',
			within: 16_500,
		},
		{
			name: 'failures are added up while the store is silent', faults: [{from: 0, until: 8000, kind: 'silent'}], failuresEach: 2, state: 'reverted', within: 4000,
		},
	];
	it.each(cases)('$name', async ({faults, cut, failuresEach, state, within}) => {
		const clock = createManualClock();
		const board = createBoard(faults, clock.monotonic);
		const isCut = (name: string): boolean => name === cut?.name && clock.monotonic() >= cut.from && clock.monotonic() < cut.until;
		// The one that ranks first for the service leads.
		const [leading, ...others] = rankMembers('pricing', names.map(id => ({id}))).map(({id}) => id);
		const follower = others[0]!;
		const role = (id: string): string => id === follower ? 'follower' : id;
		const gateways = names.map(id => {
			const bus = createMessageBus<NodeMessage>();
			const trials = createVersionTrials();
			const task = startVersionTrials(id, {
				bus, clock, logger, trials, versionBoard: board,
			});
			return {
				id, bus, trials, task,
			};
		});
		for (const gateway of gateways) {
			gateway.bus.subscribe('peer-broadcast', ({message}) => {
				for (const other of gateways) {
					if (other !== gateway && !isCut(role(gateway.id)) && !isCut(role(other.id))) {
						other.bus.publish({type: 'peer-received', from: gateway.id, message});
					}
				}
			});
			gateway.bus.publish({type: 'serving-gateways-changed', members: names.map(id => getMember(id))});
			gateway.trials.setOrders([{
				service: 'pricing', version: '2', revision: 1, durationMilliseconds,
			}], 0);
		}

		for (let now = 0; now < within; now += tickMilliseconds / 5) {
			for (const {id, trials} of gateways) {
				// The leader only counts what the settled version does.
				trials.record('pricing', 'lookup', '1', 'good');
				const isFailing = failuresEach !== undefined && id !== leading && now >= 2500 && now < 2500 + (failuresEach * tickMilliseconds / 5);
				if (isFailing || failuresEach === undefined) {
					trials.record('pricing', 'lookup', '2', isFailing ? 'failed' : 'good');
				}
			}

			clock.advance(tickMilliseconds / 5);
			await vi.advanceTimersByTimeAsync(tickMilliseconds / 5);
		}

		expect(gateways.map(({trials}) => trials.get('pricing')?.state)).toEqual(names.map(() => state));
		const stops = gateways.map(async ({task}) => task.stop());
		await vi.runAllTimersAsync();
		await Promise.all(stops);
	});
});
