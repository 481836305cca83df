/** Ends a trial on this gateway: the new version gets either all requests or none. */
import {type Clock, type Logger, millisecondsPerSecond} from '@catkindale/common';
import type {TrialState} from '@catkindale/protocol';
import type {Trial} from './version-trials.js';

/**
 * A completion is final because operators stop the old targets once it is
 * recorded. It therefore overrides an earlier revert on this gateway.
 * @param state `complete` only if the completion is recorded
 */
export function endVersionTrial(trial: Trial, state: Exclude<TrialState, 'running'>, reason: string, {clock, logger}: {readonly clock: Clock; readonly logger: Logger}): void {
	if (trial.state === 'complete' || trial.state === state) {
		return;
	}

	trial.state = state;
	trial.share = state === 'complete' ? 1 : 0;
	logger.info('version_trial_ended', {
		service: trial.service, version: trial.version, revision: trial.revision, state, reason, seconds: ((clock.monotonic() - trial.startedAt) / millisecondsPerSecond).toFixed(2),
	});
}
