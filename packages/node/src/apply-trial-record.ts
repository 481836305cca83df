/** Updates this gateway's state of a service's trial from the stored record, where the record is ahead of it. */
import type {Clock, Logger} from '@catkindale/common';
import {endVersionTrial} from './end-version-trial.js';
import type {TrialRecord} from './trial-record-store.js';
import {getSettledVersion, isRecordOf} from './version-trial-records.js';
import type {VersionTrials} from './version-trials.js';

export function applyTrialRecord(trials: Pick<VersionTrials, 'get' | 'setSettledVersion'>, record: TrialRecord, {clock, logger}: {readonly clock: Clock; readonly logger: Logger}): void {
	const trial = trials.get(record.service);
	if (!trial) {
		return;
	}

	const settledVersion = getSettledVersion(record, trial);
	if (settledVersion !== undefined) {
		trials.setSettledVersion(trial.service, settledVersion);
	}

	if (!isRecordOf(record, trial)) {
		return;
	}

	const elapsed = clock.wall() - record.startedAt;
	if (elapsed > clock.monotonic() - trial.startedAt && elapsed < trial.durationMilliseconds) {
		trial.startedAt = clock.monotonic() - elapsed;
	}

	if (record.state !== 'running') {
		endVersionTrial(trial, record.state, 'recorded', {clock, logger});
	}
}
