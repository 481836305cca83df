/**
 * Steps of the gateway that leads a service's trial. The leader sets the share
 * that all gateways apply and records the state of the trial. A trial is
 * complete only once its completion is recorded.
 */
import type {Clock, Logger} from '@catkindale/common';
import {getTrialStage} from '@catkindale/policy';
import {endVersionTrial} from './end-version-trial.js';
import type {TrialRecords} from './version-trial-records.js';
import {type Trial, getTrialEvidence} from './version-trials.js';

export type TrialLeaderDependencies = {
	readonly records: TrialRecords;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Reverts the trial at all gateways. */
	readonly halt: (trial: Trial, reason: string) => void;
};

/** Advances the trial as far as the elapsed time and the evidence allow. */
export async function advanceTrial(trial: Trial, dependencies: TrialLeaderDependencies): Promise<void> {
	switch (trial.state) {
		case 'running': {
			await advanceRunning(trial, dependencies);
			break;
		}

		// Also an end that was recorded may be missing once the store has come back from a copy.
		case 'complete':
		case 'reverted': {
			await (dependencies.records.isRecorded(trial, trial.state) || dependencies.records.write(trial, trial.state));
			break;
		}
	}
}

async function advanceRunning(trial: Trial, {
	records, clock, logger, halt,
}: TrialLeaderDependencies): Promise<void> {
	const elapsedFraction = (clock.monotonic() - trial.startedAt) / trial.durationMilliseconds;
	const trialRequests = getTrialEvidence(trial).reduce((sum, {trial: counts}) => sum + counts.requests, 0);
	const stage = getTrialStage(elapsedFraction, trialRequests);
	switch (stage.kind) {
		case 'move': {
			if (stage.share !== trial.share) {
				logger.info('version_share', {
					service: trial.service, version: trial.version, share: stage.share, from: trial.share, elapsed: elapsedFraction.toFixed(2), requests: trialRequests,
				});
				trial.share = stage.share;
			}

			await (records.isRecorded(trial, 'running') || records.write(trial, 'running'));
			break;
		}

		case 'complete': {
			trial.share = 1;
			if (await records.write(trial, 'complete')) {
				endVersionTrial(trial, 'complete', 'completed before the deadline', {clock, logger});
			}

			break;
		}

		case 'abandon': {
			halt(trial, 'not complete before the deadline');
			break;
		}
	}
}
