/**
 * The part of the gateway that ranks first for a service that moves to a new
 * version: it sets the share that all gateways follow and records how the move
 * stands. A move counts as complete only once that is recorded.
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
	/** Takes the new version back at all gateways. */
	readonly halt: (trial: Trial, reason: string) => void;
};

/** Takes the move as far as its time and the evidence allow. */
export async function advanceTrial(trial: Trial, parts: TrialLeaderDependencies): Promise<void> {
	switch (trial.state) {
		case 'running': {
			await advanceRunning(trial, parts);
			break;
		}

		case 'reverted': {
			await (parts.records.isRecorded(trial, 'reverted') || parts.records.write(trial, 'reverted'));
			break;
		}

		case 'complete': {
			break;
		}
	}
}

async function advanceRunning(trial: Trial, {
	records, clock, logger, halt,
}: TrialLeaderDependencies): Promise<void> {
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
}
