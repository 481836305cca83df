/**
 * The part of the gateway that ranks first for a service that moves to a new
 * version: it sets the share that all gateways follow and records how the move
 * stands. A move counts as complete only once that is recorded.
 */
import type {Clock, Logger} from '@catkindale/common';
import {getTrialStage} from '@catkindale/policy';
import {endVersionTrial} from './end-version-trial.js';
import type {TrialRecord} from './version-board.js';
import {type TrialRecords, getSettledVersion} from './version-trial-records.js';
import {type Trial, type VersionTrials, getTrialEvidence} from './version-trials.js';

export type TrialLeader = {
	/** Takes over what is recorded of the moves that are under way. */
	readRecords: (trials: Pick<VersionTrials, 'get' | 'settle'>) => Promise<void>;
	/** Takes the move as far as its time and the evidence allow. */
	advance: (trial: Trial) => Promise<void>;
};

export type TrialLeaderOptions = {
	readonly records: TrialRecords;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Takes the new version back at all gateways. */
	readonly halt: (trial: Trial, reason: string) => void;
};

export function createTrialLeader({
	records, clock, logger, halt,
}: TrialLeaderOptions): TrialLeader {
	/** Takes over what is recorded of a move that this gateway knows less of. */
	const adopt = (trials: Pick<VersionTrials, 'settle'>, trial: Trial, record: TrialRecord): void => {
		const settledVersion = getSettledVersion(record, trial.revision);
		if (settledVersion !== undefined) {
			trials.settle(trial.service, settledVersion);
		}

		if (record.revision !== trial.revision) {
			return;
		}

		const elapsed = clock.wall() - record.startedAt;
		if (elapsed > clock.monotonic() - trial.startedAt && elapsed < trial.durationMilliseconds) {
			trial.startedAt = clock.monotonic() - elapsed;
		}

		if (record.state !== 'running') {
			endVersionTrial(trial, record.state, 'recorded', {clock, logger});
		}
	};

	const advanceRunning = async (trial: Trial): Promise<void> => {
		const elapsedPart = (clock.monotonic() - trial.startedAt) / trial.durationMilliseconds;
		const trialRequests = getTrialEvidence(trial).reduce((sum, {trial: counts}) => sum + counts.requests, 0);
		const stage = getTrialStage(elapsedPart, trialRequests);
		switch (stage.kind) {
			case 'move': {
				if (stage.share !== trial.share) {
					logger.info('version_share', {
						service: trial.service, version: trial.version, share: stage.share, from: trial.share, elapsed: elapsedPart.toFixed(2), requests: trialRequests,
					});
					trial.share = stage.share;
				}

				await (records.isRecorded(trial, 'running') || records.write(trial, 'running'));
				break;
			}

			case 'complete': {
				trial.share = 1;
				if (await records.write(trial, 'complete')) {
					endVersionTrial(trial, 'complete', 'in time', {clock, logger});
				}

				break;
			}

			case 'abandon': {
				halt(trial, 'not complete before the deadline');
				break;
			}
		}
	};

	return {
		async readRecords(trials) {
			for (const record of await records.read()) {
				const trial = trials.get(record.service);
				if (trial) {
					adopt(trials, trial, record);
				}
			}
		},
		async advance(trial) {
			switch (trial.state) {
				case 'running': {
					await advanceRunning(trial);
					break;
				}

				case 'reverted': {
					await (records.isRecorded(trial, 'reverted') || records.write(trial, 'reverted'));
					break;
				}

				case 'complete': {
					break;
				}
			}
		},
	};
}
