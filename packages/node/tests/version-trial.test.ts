/** Trials whose record is lost, late or unread: the stored record decides. */
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
/** Timeout of a call without a response. */
const callTimeoutMilliseconds = 1500;
const logger = createSilentLogger();

/** A fault of the store's calls during a period. */
type StoreFault = {
	readonly from: number;
	readonly until: number;
	readonly kind: 'down' | 'responses lost' | 'unresponsive' | 'times out';
	/** The gateways whose calls are affected; all if absent. */
	readonly gatewayIds?: ReadonlyArray<string | undefined>;
};

/** Creates a store with one row, which several gateways may share and which operators rely on. */
function createStore(faults: readonly StoreFault[], now: () => number, shared: {row?: StoredTrialRecord} = {}): TrialRecordStore & {row: () => StoredTrialRecord | undefined} {
	const findFault = (): StoreFault | undefined => faults.find(({from, until}) => now() >= from && now() < until);
	const waitWhileUnresponsive = async (): Promise<void> => {
		const fault = findFault();
		if (fault?.kind === 'unresponsive') {
			await new Promise(resolve => {
				setTimeout(resolve, fault.until - now());
			});
		}
	};

	return {
		row: () => shared.row,
		async read() {
			await waitWhileUnresponsive();
			return ['down', 'times out'].includes(findFault()?.kind ?? '') ? {kind: 'not-done', reason: 'down'} : {kind: 'done', value: shared.row ? [shared.row] : []};
		},
		async write(record, expectedRowVersion) {
			await waitWhileUnresponsive();
			const fault = findFault();
			if (fault?.kind === 'down') {
				return {kind: 'not-done', reason: 'down'};
			}

			if (fault?.kind === 'times out') {
				await new Promise(resolve => {
					setTimeout(resolve, callTimeoutMilliseconds);
				});
				return {kind: 'unknown', reason: 'no response'};
			}

			if (expectedRowVersion !== (shared.row?.rowVersion ?? 0)) {
				return {kind: 'conflict'};
			}

			shared.row = {...record, rowVersion: expectedRowVersion + 1};
			return fault ? {kind: 'unknown', reason: 'response lost'} : {kind: 'done', value: shared.row.rowVersion};
		},
	};
}

function createTrial(): {readonly trials: VersionTrials; readonly trial: Trial} {
	const trials = createVersionTrials();
	trials.setOrders([{
		service: 'pricing', version: '2', era: 1, revision: 1, durationMilliseconds,
	}], 0);
	const trial = trials.get('pricing')!;
	trial.ownCounts.set('lookup', {trial: {requests: 100, failures: 0, slow: 0}, settled: {requests: 1000, failures: 0, slow: 0}});
	return {trials, trial};
}

describe('requests outside a trial go', () => {
	const first = {
		service: 'pricing', version: '2', era: 1, revision: 1, durationMilliseconds,
	};
	const second = {
		service: 'pricing', version: '3', era: 1, revision: 2, durationMilliseconds,
	};
	const cases: ReadonlyArray<{name: string; ends: readonly TrialState[]; allowed: readonly string[]}> = [
		{name: 'to the old version during the first trial', ends: ['running'], allowed: ['1']},
		{name: 'to the new version once the trial is complete', ends: ['complete'], allowed: ['2']},
		{name: 'to the old version once the trial is reverted', ends: ['reverted'], allowed: ['1']},
		{name: 'to the version of the last completed trial during the next one', ends: ['complete', 'running'], allowed: ['2']},
		{name: 'to the version of the last completed trial once the next one is reverted', ends: ['complete', 'reverted'], allowed: ['2']},
		{name: 'to the version of the last completed trial after two completed ones', ends: ['complete', 'complete'], allowed: ['3']},
		{name: 'to the old version after two reverted trials', ends: ['reverted', 'reverted'], allowed: ['1']},
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

describe('the gateway that leads a trial', () => {
	const cases: ReadonlyArray<{name: string; faults: readonly StoreFault[]; haltedAt?: number; state: TrialState}> = [
		{name: 'completes it', faults: [], state: 'complete'},
		{name: 'completes it when the store is available again in time', faults: [{from: 9000, until: 11_000, kind: 'down'}], state: 'complete'},
		{name: 'reverts it when the store is unavailable until the end', faults: [{from: 9000, until: 20_000, kind: 'down'}], state: 'reverted'},
		{name: 'completes it when the response to the completion is lost', faults: [{from: 9500, until: 10_200, kind: 'responses lost'}], state: 'complete'},
		{
			name: 'accepts a recorded completion that it reads after the deadline',
			faults: [{from: 9500, until: 10_100, kind: 'responses lost'}, {from: 10_100, until: 20_000, kind: 'down'}],
			state: 'complete',
		},
		{
			name: 'accepts a recorded completion when the version fails before it is read',
			faults: [{from: 9500, until: 10_100, kind: 'responses lost'}, {from: 10_100, until: 11_000, kind: 'down'}],
			haltedAt: 10_500,
			state: 'complete',
		},
		{
			name: 'reverts it when the response to its first write is lost', faults: [{from: 0, until: 500, kind: 'responses lost'}], haltedAt: 3000, state: 'reverted',
		},
	];
	it.each(cases)('$name', async ({faults, haltedAt, state}) => {
		const clock = createManualClock();
		const store = createStore(faults, () => clock.monotonic());
		const records = createTrialRecords({store, clock, logger});
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

		expect({local: trial.state, recorded: store.row()?.state}).toEqual({local: state, recorded: state});
	});
});

function getMember(id: string): Member {
	return {
		id, incarnation: '1', region: 'oslo', zone: 'oslo-a', callerAddress: '', peerAddress: '', state: 'live', isEntry: true,
	};
}

const names = ['a', 'b', 'c'];
/** The gateway that ranks first for the service leads. */
const [leader, follower, last] = rankMembers('pricing', names.map(id => ({id}))).map(({id}) => id);
const stepMilliseconds = tickMilliseconds / 5;
const order = {
	service: 'pricing', version: '2', era: 1, revision: 1, durationMilliseconds,
};
const nextOrder = {...order, version: '3', revision: 2};

/** A period in which the gateway neither sends nor receives messages. */
type Cut = {readonly id: string | undefined; readonly from: number; readonly until: number};

type Gateway = {readonly id: string; readonly bus: MessageBus<NodeMessage>; readonly trials: VersionTrials; readonly stop: () => Promise<void>};

/** Starts gateways that exchange messages, except for the cut, on a manual clock. */
function startGateways(faults: readonly StoreFault[], cut?: Cut) {
	const clock = createManualClock();
	const shared: {row?: StoredTrialRecord} = {};
	const gateways = new Map<string, Gateway>();
	const isCut = (id: string): boolean => id === cut?.id && clock.monotonic() >= cut.from && clock.monotonic() < cut.until;
	const start = (id: string): void => {
		const bus = createMessageBus<NodeMessage>();
		const trials = createVersionTrials();
		const task = startVersionTrials(id, {
			bus, clock, logger, trials, trialRecordStore: createStore(faults.filter(({gatewayIds}) => !gatewayIds || gatewayIds.includes(id)), clock.monotonic, shared),
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
		/** The stored record. */
		shared,
		/** Replaces the gateway of this name. */
		start,
		order(ordered: typeof order) {
			for (const {bus} of gateways.values()) {
				bus.publish({
					type: 'traffic-orders-changed', orders: {
						era: ordered.era, revision: ordered.revision, versions: [ordered], evacuatedZones: [],
					},
				});
			}
		},
		async advanceTo(until: number, count?: (gateway: Gateway, now: number) => void) {
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

describe('gateways when one of them or the store is unreachable', () => {
	beforeEach(() => {
		vi.useFakeTimers();
	});

	afterEach(() => {
		vi.useRealTimers();
	});

	const cases: ReadonlyArray<{name: string; faults: readonly StoreFault[]; cut?: Cut; within: number}> = [
		{name: 'all receive the completion', faults: [], within: 10_500},
		{
			name: 'one that missed the completion reads it', faults: [], cut: {id: follower, from: 9000, until: 20_000}, within: 11_500,
		},
		{
			name: 'one that missed the completion while the store was unavailable reads it later',
			faults: [{from: 10_100, until: 15_000, kind: 'down'}],
			cut: {id: follower, from: 9000, until: 20_000},
			within: 16_500,
		},
		{
			name: 'another completes the trial in time when only the leader can\'t reach the store', faults: [{
				from: 5000, until: 30_000, kind: 'down', gatewayIds: [leader],
			}], within: 11_500,
		},
		{
			name: 'another completes it when only the leader gets no response from the store', faults: [{
				from: 5000, until: 30_000, kind: 'times out', gatewayIds: [leader],
			}], within: 11_900,
		},
		{
			name: 'another completes it when the leader never reached the store', faults: [{
				from: 0, until: 30_000, kind: 'down', gatewayIds: [leader],
			}], within: 11_500,
		},
		{
			name: 'the last one completes it when no other reaches the store', faults: [{
				from: 5000, until: 30_000, kind: 'down', gatewayIds: [leader, follower],
			}], within: 11_500,
		},
		{
			name: 'the leader completes it when the others can\'t reach the store', faults: [{
				from: 0, until: 30_000, kind: 'down', gatewayIds: [follower, last],
			}], within: 11_500,
		},
	];
	it.each(cases)('$name', async ({faults, cut, within}) => {
		const fleet = startGateways(faults, cut);
		fleet.order(order);
		await fleet.advanceTo(within, countGood);
		expect([...fleet.gateways.values()].map(({trials}) => trials.get('pricing')?.state)).toEqual(names.map(() => 'complete'));
		await fleet.stop();
	});

	const returns: ReadonlyArray<{name: string; at: number; copy: 'of before the trial' | 'of its start' | 'of now'; failures: number; state: TrialState; share: number}> = [
		{
			name: 'that runs', at: 3000, copy: 'of before the trial', failures: 0, state: 'running', share: 0.05,
		},
		{
			name: 'that runs at a risen share', at: 7500, copy: 'of its start', failures: 0, state: 'running', share: 0.75,
		},
		{
			name: 'that was complete', at: 11_000, copy: 'of its start', failures: 0, state: 'complete', share: 1,
		},
		{
			name: 'that was complete and recorded', at: 11_000, copy: 'of now', failures: 0, state: 'complete', share: 1,
		},
		{
			name: 'that was reverted', at: 5000, copy: 'of its start', failures: 4, state: 'reverted', share: 0,
		},
	];
	// Guards against a settled move that begins again, or is lost, because the copy changes the revision of its order.
	it.each(returns)('the trial $name goes on after the store\'s return from a copy $copy', async ({at, copy, failures, state, share}) => {
		const fleet = startGateways([]);
		fleet.order(order);
		await fleet.advanceTo(1000, countGood);
		const start = fleet.shared.row;
		await fleet.advanceTo(2000, ({trials}) => {
			for (let index = 0; index < failures; index++) {
				trials.recordAttempt('pricing', 'lookup', '2', 'failed');
			}
		});
		await fleet.advanceTo(at, countGood);
		const recorded = {'of before the trial': undefined, 'of its start': start, 'of now': fleet.shared.row};
		fleet.shared.row = recorded[copy];
		for (const {bus} of fleet.gateways.values()) {
			bus.publish({type: 'traffic-source-restored', era: 2});
		}

		await fleet.advanceTo(at + 500, countGood);
		const reordered = {...order, era: 2, revision: 9};
		fleet.order(reordered);
		await fleet.advanceTo(at + 1000, countGood);
		for (const {trials} of fleet.gateways.values()) {
			expect(trials.get('pricing')).toMatchObject({...reordered, state, share});
		}

		expect(fleet.shared.row).toMatchObject({
			service: 'pricing', version: '2', era: 2, revision: 9, state,
		});
		await fleet.stop();
	});

	it('add up failures while the store is unresponsive', async () => {
		const fleet = startGateways([{from: 0, until: 8000, kind: 'unresponsive'}]);
		fleet.order(order);
		let failures = 0;
		await fleet.advanceTo(4000, ({id, trials}, now) => {
			trials.recordAttempt('pricing', 'lookup', '1', 'good');
			if (id !== leader && now >= 2500 && failures < 4) {
				trials.recordAttempt('pricing', 'lookup', '2', 'failed');
				failures += 1;
			}
		});
		expect([...fleet.gateways.values()].map(({trials}) => trials.get('pricing')?.state)).toEqual(names.map(() => 'reverted'));
		await fleet.stop();
	});

	const restarts: ReadonlyArray<{name: string; ordered: ReadonlyArray<typeof order>; allowed: string}> = [
		{name: 'a completed trial', ordered: [order], allowed: '2'},
		{name: 'a completed trial, during the next one', ordered: [order, nextOrder], allowed: '2'},
	];
	it.each(restarts)('one that restarts while the store is down receives the settled version from the others: after $name', async ({ordered, allowed}) => {
		const fleet = startGateways([{from: 14_000, until: 30_000, kind: 'down'}]);
		for (const [index, next] of ordered.entries()) {
			fleet.order(next);
			await fleet.advanceTo(12_500 + (index * 1500), countGood);
		}

		await fleet.advanceTo(15_000, countGood);
		await Promise.all([fleet.gateways.get(follower!)!.stop(), vi.advanceTimersByTimeAsync(tickMilliseconds)]);
		fleet.start(follower!);
		fleet.order(ordered.at(-1)!);
		await fleet.advanceTo(15_500);
		const plan = fleet.gateways.get(follower!)!.trials.planOutsideTrial('pricing');
		expect(['1', '2', '3'].filter(version => plan.allows(version))).toEqual([allowed]);
		await fleet.stop();
	});

	const nextTrials: ReadonlyArray<{name: string; cut?: Cut; restarted?: string | undefined}> = [
		{name: 'all received'},
		{name: 'one missed', cut: {id: follower, from: 9000, until: 12_000}},
		{name: 'the leader missed', cut: {id: leader, from: 9000, until: 12_000}},
		{name: 'the leader lost in a restart', restarted: leader},
		{name: 'a follower lost in a restart', restarted: follower},
	];
	it.each(nextTrials)('in a trial after one whose completion $name, the old targets of the first get no requests', async ({cut, restarted}) => {
		const fleet = startGateways([], cut);
		fleet.order(order);
		await fleet.advanceTo(12_000, countGood);
		fleet.order(nextOrder);
		await fleet.advanceTo(13_000, countGood);
		if (restarted !== undefined) {
			await Promise.all([fleet.gateways.get(restarted)!.stop(), vi.advanceTimersByTimeAsync(tickMilliseconds)]);
			fleet.start(restarted);
			fleet.order(nextOrder);
		}

		await fleet.advanceTo(15_000, countGood);
		const plans = [...fleet.gateways.values()].map(({trials}) => trials.planOutsideTrial('pricing'));
		expect(plans.map(plan => ['1', '2', '3'].filter(version => plan.allows(version)))).toEqual(names.map(() => ['2']));
		await fleet.stop();
	});
});
