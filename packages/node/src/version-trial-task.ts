/**
 * Moves services to new versions. Each gateway sends its part of the requests
 * to the new version and tells the others what became of them; any of them
 * halts a bad version for all at once. The gateway that ranks first for the
 * service sets the shares and records the move; another takes over when that
 * one no longer serves or can't reach the store.
 */
import {rankMembers} from '@catkindale/common';
import type {Task} from '@catkindale/kernel';
import {evaluateTrial} from '@catkindale/policy';
import type {TrialCountsMessage, TrialStageMessage} from '@catkindale/protocol';
import {applyTrialRecord} from './apply-trial-record.js';
import {endVersionTrial} from './end-version-trial.js';
import type {NodeContext} from './node-context.js';
import {startPeriodicWork} from './periodic-work.js';
import {advanceTrial} from './version-trial-leader.js';
import {createTrialRecords} from './version-trial-records.js';
import {type Trial, getTrialEvidence} from './version-trials.js';

/** Counts and shares travel this often while a move is under way. */
const tickMilliseconds = 250;
/** Four messages of the leader: after that a gateway reads the record itself, and no more often. */
const leaderSilenceMilliseconds = 1000;
/** A gateway that yields says so in each tick; it may lead again when it has been silent for some. */
const yieldMilliseconds = 1000;

/** @param ownId the name of this gateway among those that serve */
export function startVersionTrials(ownId: string, {
	bus, clock, logger, trials, versionBoard,
}: Pick<NodeContext, 'bus' | 'clock' | 'logger' | 'trials' | 'versionBoard'>): Task {
	let gateways: readonly string[] = [ownId];
	let readAt = Number.NEGATIVE_INFINITY;
	let isYielding = false;
	const records = createTrialRecords({store: versionBoard, clock, logger});

	const halt = (trial: Trial, reason: string): void => {
		const {service, version, revision} = trial;
		endVersionTrial(trial, 'reverted', reason, {clock, logger});
		bus.publish({
			type: 'peer-broadcast', message: {
				type: 'trial-halt', service, version, revision, reason,
			},
		});
	};

	const judge = (trial: Trial): void => {
		const verdict = trial.state === 'running' ? evaluateTrial(getTrialEvidence(trial)) : {kind: 'sound' as const};
		if (verdict.kind === 'bad') {
			halt(trial, `${verdict.reason} on route ${verdict.route}`);
		}
	};

	/** Until when other gateways have yielded. */
	const yieldedUntil = new Map<string, number>();

	/** Two may lead for a moment, since their records are written under a condition. */
	const isLeader = (trial: Trial): boolean => {
		const now = clock.monotonic();
		const able = gateways.filter(id => id === ownId ? !records.isStoreUnreachable() : now >= (yieldedUntil.get(id) ?? 0));
		// If none reaches the store, the first goes on, to try again and to take the move back in time.
		const candidates = able.length > 0 ? able : gateways;
		return rankMembers(trial.service, candidates.map(id => ({id})))[0]?.id === ownId;
	};

	const createStage = ({service, version, revision, state, share}: Trial): TrialStageMessage => ({
		type: 'trial-stage', service, version, revision, state, share, settledVersion: trials.getSettledVersion(service),
	});

	const tellStage = (trial: Trial): void => {
		bus.publish({type: 'peer-broadcast', message: createStage(trial)});
	};

	const tellCounts = (trial: Trial): void => {
		const {service, version, revision, ownCounts: own} = trial;
		if (trial.state === 'running' && own.size > 0) {
			bus.publish({
				type: 'peer-broadcast', message: {
					type: 'trial-counts', service, version, revision, routes: Object.fromEntries(own),
				},
			});
		}
	};

	const isOpen = (trial: Trial): boolean => trial.state === 'running' || !records.isRecorded(trial, trial.state);

	/** The leader must know the record before each step; the others read it once for each move, and when the leader is silent. */
	const needsRecord = (trial: Trial, now: number): boolean => {
		if (isLeader(trial)) {
			return !records.isCurrent();
		}

		const isNewsLate = records.isStoreUnreachable() || !records.hasRecordOf(trial) || now >= trial.stageReceivedAt + leaderSilenceMilliseconds;
		return isNewsLate && now >= readAt + leaderSilenceMilliseconds;
	};

	const getOpen = (): Trial[] => trials.getAll().filter(trial => isOpen(trial));

	const noteReach = (): void => {
		if (isYielding !== records.isStoreUnreachable()) {
			isYielding = !isYielding;
			logger.info('version_lead', {state: isYielding ? 'yielded' : 'possible', reason: `the store ${isYielding ? 'gives no answer' : 'answers'}`});
		}
	};

	/** Never waits for the store, so that a bad version is found while the store gives no answer. */
	const tell = async (): Promise<void> => {
		const open = getOpen();
		noteReach();
		if (open.length > 0 && isYielding) {
			bus.publish({type: 'peer-broadcast', message: {type: 'trial-yield'}});
		}

		for (const trial of open) {
			tellCounts(trial);
			judge(trial);
			if (isLeader(trial)) {
				tellStage(trial);
			}
		}
	};

	const keepRecords = async (): Promise<void> => {
		const now = clock.monotonic();
		const open = getOpen();
		if (open.some(trial => needsRecord(trial, now))) {
			readAt = now;
			for (const record of await records.read()) {
				applyTrialRecord(trials, record, {clock, logger});
			}
		}

		// Without the record a restarted leader can't tell what was decided.
		for (const trial of open.filter(openTrial => isLeader(openTrial) && records.isCurrent())) {
			await advanceTrial(trial, {
				records, clock, logger, halt,
			});
			if (trial.state !== 'running') {
				tellStage(trial);
			}
		}
	};

	const find = ({service, revision}: {readonly service: string; readonly revision: number}): Trial | undefined => {
		const trial = trials.get(service);
		return trial?.revision === revision ? trial : undefined;
	};

	/** Stages of moves whose order hasn't come yet, as after a restart. */
	const earlyStages = new Map<string, {readonly message: TrialStageMessage; readonly from: string}>();

	const followStage = (message: TrialStageMessage, from: string): void => {
		const trial = find(message);
		if (!trial) {
			const knownRevision = Math.max(trials.get(message.service)?.revision ?? -1, earlyStages.get(message.service)?.message.revision ?? -1);
			if (message.revision > knownRevision) {
				earlyStages.set(message.service, {message, from});
			}

			return;
		}

		trial.stageReceivedAt = clock.monotonic();
		if (message.settledVersion !== undefined) {
			trials.settle(trial.service, message.settledVersion);
		}

		if (message.state !== 'running') {
			endVersionTrial(trial, message.state, `told by ${from}`, {clock, logger});
		} else if (trial.state === 'running') {
			trial.share = message.share;
		}
	};

	const learnCounts = (message: TrialCountsMessage, from: string): void => {
		const trial = find(message);
		if (trial) {
			trial.peerCounts.set(from, message.routes);
			judge(trial);
		}
	};

	const endings = [
		bus.subscribe('traffic-orders-changed', ({orders}) => {
			trials.setOrders(orders.versions.map(order => ({...order})), clock.monotonic());
			const stages = [...earlyStages.values()];
			earlyStages.clear();
			for (const {message, from} of stages) {
				followStage(message, from);
			}
		}),
		bus.subscribe('peer-connected', ({id}) => {
			// A gateway that starts while the store is away can't read how its moves have ended.
			for (const trial of trials.getAll().filter(({state}) => state !== 'running')) {
				bus.publish({type: 'peer-send', to: id, message: createStage(trial)});
			}
		}),
		bus.subscribe('serving-gateways-changed', ({members}) => {
			gateways = members.map(({id}) => id);
		}),
		bus.subscribe('peer-received', ({from, message}) => {
			if (message.type === 'trial-stage') {
				followStage(message, from);
			}

			if (message.type === 'trial-counts') {
				learnCounts(message, from);
			}

			if (message.type === 'trial-yield') {
				yieldedUntil.set(from, clock.monotonic() + yieldMilliseconds);
			}

			const halted = message.type === 'trial-halt' ? find(message) : undefined;
			if (halted && message.type === 'trial-halt') {
				endVersionTrial(halted, 'reverted', `told by ${from}: ${message.reason}`, {clock, logger});
			}
		}),
	];
	const works = [tell, keepRecords].map(run => startPeriodicWork(run, tickMilliseconds));
	return {
		async stop() {
			await Promise.all(works.map(async work => work.stop()));
			for (const stop of endings) {
				stop();
			}
		},
	};
}
