/**
 * Runs the trials of new versions. Each gateway sends its share of the requests
 * to the new version and broadcasts their results. Any gateway can halt a bad
 * version immediately for all gateways. In a fleet with relays, these sum up the
 * results of the gateways attached to them. The leader, which is the gateway or
 * relay that ranks first for the service, sets the share and records the trial. Another
 * gateway takes over when the leader no longer serves or can't reach the store.
 */
import {rankMembers} from '@catkindale/common';
import type {Task} from '@catkindale/kernel';
import {evaluateTrial, isLaterRevision} from '@catkindale/policy';
import type {TrialCountsMessage, TrialStageMessage} from '@catkindale/protocol';
import {applyTrialRecord} from './apply-trial-record.js';
import {endVersionTrial} from './end-version-trial.js';
import type {FleetLinks} from './fleet-links.js';
import type {NodeContext} from './node-context.js';
import {startPeriodicWork} from './periodic-work.js';
import {advanceTrial} from './version-trial-leader.js';
import {createTrialRecords} from './version-trial-records.js';
import {
	type Trial, getSummedCounts, getTrialEvidence, isTrialOf,
} from './version-trials.js';

/** Interval at which counts and shares are broadcast during a trial. */
const tickMilliseconds = 250;
/** The same while there is none. */
const idleTickMilliseconds = 1000;
/** Time without messages from the leader (four ticks) after which a gateway reads the record itself, at most this often. */
const leaderSilenceMilliseconds = 1000;
/** A yielding gateway broadcasts this in each tick. It may lead again once none of these messages arrives for four ticks. */
const yieldMilliseconds = 1000;

/** @param ownId the identifier of this gateway among the serving members */
export function startVersionTrials(ownId: string, {
	bus, clock, logger, trials, trialRecordStore,
}: Pick<NodeContext, 'bus' | 'clock' | 'logger' | 'trials' | 'trialRecordStore'>): Task {
	let gateways: readonly string[] = [ownId];
	let links: FleetLinks = {kind: 'mesh'};
	let lastReadAt = Number.NEGATIVE_INFINITY;
	let isYielding = false;
	const records = createTrialRecords({store: trialRecordStore, clock, logger});

	const broadcastHalt = ({service, version, era, revision}: Trial, reason: string): void => {
		bus.publish({
			type: 'peer-broadcast', message: {
				type: 'trial-halt', service, version, era, revision, reason,
			},
		});
	};

	const halt = (trial: Trial, reason: string): void => {
		endVersionTrial(trial, 'reverted', reason, {clock, logger});
		broadcastHalt(trial, reason);
	};

	const evaluate = (trial: Trial): void => {
		const evaluation = trial.state === 'running' ? evaluateTrial(getTrialEvidence(trial)) : {kind: 'sound' as const};
		if (evaluation.kind === 'bad') {
			halt(trial, `${evaluation.reason} on route ${evaluation.route}`);
		}
	};

	/** Monotonic times at which the counts of other gateways were received, by service and gateway. */
	const countsReceivedAt = new Map<string, number>();
	/** Monotonic times until which other gateways have yielded the lead. */
	const yieldedUntil = new Map<string, number>();

	/** Two gateways may lead briefly. This is safe because records are written by compare-and-set. */
	const isLeader = (trial: Trial): boolean => {
		const now = clock.monotonic();
		const {kind} = links;
		if (kind === 'attached') {
			return false;
		}

		const relayIds = kind === 'relay' ? links.relayIds : undefined;
		const leaders = gateways.filter(id => relayIds === undefined || id === ownId || relayIds.includes(id));
		const eligible = leaders.filter(id => id === ownId ? !records.isStoreUnreachable() : now >= (yieldedUntil.get(id) ?? 0));
		// If no gateway reaches the store, the first one keeps leading, so that it retries and reverts the trial in time.
		const candidates = eligible.length > 0 ? eligible : leaders;
		return rankMembers(trial.service, candidates.map(id => ({id})))[0]?.id === ownId;
	};

	const createStageMessage = ({service, version, era, revision, state, share}: Trial): TrialStageMessage => ({
		type: 'trial-stage', service, version, era, revision, state, share, settledVersion: trials.getSettledVersion(service),
	});

	const broadcastStage = (trial: Trial): void => {
		bus.publish({type: 'peer-broadcast', message: createStageMessage(trial)});
	};

	/** The gateways that count the results of this one, and of those attached to it. */
	const getCountReceivers = (): readonly string[] | undefined => {
		switch (links.kind) {
			case 'mesh': {
				return undefined;
			}

			case 'relay': {
				return links.relayIds;
			}

			case 'attached': {
				return links.ownRelayIds.slice(0, 1);
			}
		}
	};

	const broadcastCounts = (trial: Trial): void => {
		if (trial.state !== 'running') {
			return;
		}

		const {service, version, era, revision} = trial;
		const attachedIds = links.kind === 'relay' ? links.attachedIds : [];
		const routes = getSummedCounts(trial, attachedIds);
		const to = getCountReceivers();
		if (Object.keys(routes).length > 0) {
			bus.publish({
				type: 'peer-broadcast', message: {
					type: 'trial-counts', service, version, era, revision, routes,
				}, ...(to && {to}),
			});
		}
	};

	/** A gateway that has attached to another relay is counted there. */
	const dropMovedCounts = (trial: Trial): void => {
		const attachedIds = links.kind === 'relay' ? links.attachedIds : [];
		for (const id of attachedIds) {
			if (clock.monotonic() - (countsReceivedAt.get(`${trial.service} ${id}`) ?? 0) > leaderSilenceMilliseconds) {
				trial.peerCounts.delete(id);
			}
		}
	};

	const isOpen = (trial: Trial): boolean => trial.state === 'running' || !records.isRecorded(trial, trial.state);

	/** The leader needs a current record before each step. The others read it once for each trial and when the leader is unresponsive. */
	const needsRecord = (trial: Trial, now: number): boolean => {
		if (isLeader(trial)) {
			return !records.isCurrent();
		}

		const isStageLate = records.isStoreUnreachable() || !records.hasRecordOf(trial) || now >= trial.stageReceivedAt + leaderSilenceMilliseconds;
		return isStageLate && now >= lastReadAt + leaderSilenceMilliseconds;
	};

	const getOpenTrials = (): Trial[] => trials.getAll().filter(trial => isOpen(trial));

	const updateYielding = (): void => {
		if (isYielding !== records.isStoreUnreachable()) {
			isYielding = !isYielding;
			logger.info('version_lead', {state: isYielding ? 'yielded' : 'possible', reason: `the store is ${isYielding ? 'unreachable' : 'reachable'}`});
		}
	};

	/** Never waits for the store, so that a bad version is detected while the store is unresponsive. */
	const broadcastAndEvaluate = async (): Promise<void> => {
		const openTrials = getOpenTrials();
		updateYielding();
		if (openTrials.length > 0 && isYielding) {
			bus.publish({type: 'peer-broadcast', message: {type: 'trial-yield'}});
		}

		for (const trial of openTrials) {
			dropMovedCounts(trial);
			broadcastCounts(trial);
			evaluate(trial);
			if (isLeader(trial)) {
				broadcastStage(trial);
			}
		}
	};

	const maintainRecords = async (): Promise<void> => {
		const now = clock.monotonic();
		const openTrials = getOpenTrials();
		if (openTrials.some(trial => needsRecord(trial, now))) {
			lastReadAt = now;
			for (const record of await records.read()) {
				applyTrialRecord(trials, record, {clock, logger});
			}
		}

		// A restarted leader must not act before it has read what was decided.
		for (const trial of openTrials.filter(openTrial => isLeader(openTrial) && records.isCurrent())) {
			await advanceTrial(trial, {
				records, clock, logger, halt,
			});
			if (trial.state !== 'running') {
				broadcastStage(trial);
			}
		}
	};

	const findTrial = (order: Pick<Trial, 'service' | 'version' | 'era' | 'revision'>): Trial | undefined => {
		const trial = trials.get(order.service);
		return trial && isTrialOf(trial, order) ? trial : undefined;
	};

	/** Stages of trials whose order hasn't arrived yet, for example after a restart. */
	const pendingStages = new Map<string, {readonly message: TrialStageMessage; readonly from: string}>();

	const forwardToAttached = (message: TrialStageMessage): void => {
		if (links.kind === 'relay') {
			bus.publish({type: 'peer-broadcast', message, to: links.attachedIds});
		}
	};

	const receiveStage = (message: TrialStageMessage, from: string): void => {
		const trial = findTrial(message);
		if (!trial) {
			const known = [trials.get(message.service), pendingStages.get(message.service)?.message];
			if (known.every(order => !order || isLaterRevision(message, order))) {
				pendingStages.set(message.service, {message, from});
			}

			return;
		}

		trial.stageReceivedAt = clock.monotonic();
		if (message.settledVersion !== undefined) {
			trials.setSettledVersion(trial.service, message.settledVersion);
		}

		if (message.state !== 'running') {
			endVersionTrial(trial, message.state, `reported by ${from}`, {clock, logger});
		} else if (trial.state === 'running') {
			trial.share = message.share;
		}

		forwardToAttached(message);
	};

	const receiveCounts = (message: TrialCountsMessage, from: string): void => {
		const trial = findTrial(message);
		if (trial) {
			trial.peerCounts.set(from, message.routes);
			countsReceivedAt.set(`${trial.service} ${from}`, clock.monotonic());
			evaluate(trial);
		}
	};

	const subscriptions = [
		bus.subscribe('traffic-orders-changed', ({orders}) => {
			trials.setOrders(orders.versions.map(order => ({...order, era: orders.era})), clock.monotonic());
			const stages = [...pendingStages.values()];
			pendingStages.clear();
			for (const {message, from} of stages) {
				receiveStage(message, from);
			}

			for (const work of periodicWorks) {
				work.runSoon();
			}
		}),
		bus.subscribe('peer-connected', ({id}) => {
			// A gateway that starts while the store is unreachable can't read how its trials ended.
			for (const trial of trials.getAll().filter(({state}) => state !== 'running')) {
				bus.publish({type: 'peer-send', to: id, message: createStageMessage(trial)});
			}
		}),
		bus.subscribe('process-paused', () => {
			// Another gateway may have led the trials in the meantime.
			records.invalidate();
			lastReadAt = Number.NEGATIVE_INFINITY;
		}),
		bus.subscribe('traffic-source-restored', () => {
			records.invalidate();
			lastReadAt = Number.NEGATIVE_INFINITY;
		}),
		bus.subscribe('fleet-links-changed', message => {
			({links} = message);
		}),
		bus.subscribe('serving-gateways-changed', ({members}) => {
			gateways = members.map(({id}) => id);
		}),
		bus.subscribe('peer-received', ({from, message}) => {
			if (message.type === 'trial-stage') {
				receiveStage(message, from);
			}

			if (message.type === 'trial-counts') {
				receiveCounts(message, from);
			}

			if (message.type === 'trial-yield') {
				yieldedUntil.set(from, clock.monotonic() + yieldMilliseconds);
			}

			const haltedTrial = message.type === 'trial-halt' ? findTrial(message) : undefined;
			if (haltedTrial && message.type === 'trial-halt') {
				if (links.kind === 'relay' && haltedTrial.state === 'running') {
					broadcastHalt(haltedTrial, message.reason);
				}

				endVersionTrial(haltedTrial, 'reverted', `halted by ${from}: ${message.reason}`, {clock, logger});
			}
		}),
	];
	const getPauseMilliseconds = (): number => getOpenTrials().length > 0 ? tickMilliseconds : idleTickMilliseconds;
	const periodicWorks = [broadcastAndEvaluate, maintainRecords].map(run => startPeriodicWork(run, getPauseMilliseconds));
	return {
		async stop() {
			await Promise.all(periodicWorks.map(async work => work.stop()));
			for (const unsubscribe of subscriptions) {
				unsubscribe();
			}
		},
	};
}
