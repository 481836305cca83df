/**
 * Caches the stored record of each service's latest trial. After a conflict or
 * a lost response only the stored record is authoritative, so the records must
 * be read again.
 */
import type {Clock, Logger} from '@catkindale/common';
import {isLaterRevision, isSameRevision} from '@catkindale/policy';
import type {TrialState} from '@catkindale/protocol';
import type {StoredTrialRecord, TrialRecord, TrialRecordStore} from './trial-record-store.js';
import type {Trial} from './version-trials.js';

export type TrialRecords = {
	/** Whether the records were read and every write since then succeeded. */
	isCurrent: () => boolean;
	/** Makes the records be read again before they are used. */
	invalidate: () => void;
	/** Whether the latest call has failed, has an unknown outcome or takes too long. */
	isStoreUnreachable: () => boolean;
	/** Reads all records. Returns none if the store can't be read. */
	read: () => Promise<readonly TrialRecord[]>;
	/** Whether the trial is already recorded in this state, under the order's latest revision. */
	isRecorded: (trial: Trial, state: TrialState) => boolean;
	/** Whether the service's record belongs to this trial and not to an earlier one. */
	hasRecordOf: (trial: Trial) => boolean;
	/** Returns whether the state was recorded. */
	write: (trial: Trial, state: TrialState) => Promise<boolean>;
};

export type TrialRecordsOptions = {
	/** Absent where trials aren't recorded. */
	readonly store: TrialRecordStore | undefined;
	readonly clock: Clock;
	readonly logger: Logger;
};

/** Whether the record belongs to this trial and not to an earlier one; the order may have been written again in a later era since. */
export function isRecordOf(record: TrialRecord, trial: Trial): boolean {
	if (record.era === 0) {
		return record.revision === trial.revision;
	}

	return isSameRevision(record, trial) || (record.era < trial.era && record.version === trial.version);
}

/** Returns the version of the last completed trial before this one; undefined if the record has none. */
export function getSettledVersion(record: TrialRecord, trial: Trial): string | undefined {
	const isEarlier = isLaterRevision(trial, record) && !isRecordOf(record, trial);
	return isEarlier && record.state === 'complete' ? record.version : record.settledVersion;
}

/** A healthy store responds within some milliseconds, a slow one within a few hundred. A later response is too late for the last step of a trial. */
const maximumResponseMilliseconds = 500;

export function createTrialRecords({store, clock, logger}: TrialRecordsOptions): TrialRecords {
	let records: Map<string, StoredTrialRecord> | undefined;
	let hasFailed = false;
	let callStartedAt: number | undefined;
	const call = async <Outcome extends {readonly kind: string}>(pendingCall: Promise<Outcome> | undefined): Promise<Outcome | undefined> => {
		callStartedAt = clock.monotonic();
		const outcome = await pendingCall;
		callStartedAt = undefined;
		hasFailed = outcome?.kind === 'not-done' || outcome?.kind === 'unknown';
		return outcome;
	};

	return {
		isCurrent: () => records !== undefined,
		invalidate() {
			records = undefined;
		},
		isStoreUnreachable: () => hasFailed || (callStartedAt !== undefined && clock.monotonic() - callStartedAt > maximumResponseMilliseconds),
		async read() {
			const outcome = await call(store?.read());
			if (outcome?.kind !== 'done') {
				logger.warn('version_record_unread', {reason: outcome && 'reason' in outcome ? outcome.reason : outcome?.kind});
				return [];
			}

			records = new Map(outcome.value.map(record => [record.service, record]));
			return outcome.value;
		},
		isRecorded(trial, state) {
			const record = records?.get(trial.service);
			return record !== undefined && isSameRevision(record, trial) && record.state === state;
		},
		hasRecordOf(trial) {
			const record = records?.get(trial.service);
			return record !== undefined && isRecordOf(record, trial);
		},
		async write(trial, state) {
			const {service, version, era, revision} = trial;
			const previous = records?.get(service);
			if (previous && isLaterRevision(previous, trial)) {
				// The order that this node follows was replaced, or written again in a later era.
				logger.info('version_record_later', {
					service, era, revision, recordedEra: previous.era, recordedRevision: previous.revision,
				});
				records = undefined;
				return false;
			}

			const record = {
				service,
				version,
				era,
				revision,
				state,
				startedAt: clock.wall() - (clock.monotonic() - trial.startedAt),
				settledVersion: previous && getSettledVersion(previous, trial),
			};
			const outcome = await call(store?.write(record, previous?.rowVersion ?? 0));
			logger.info('version_record_written', {
				service, version, era, revision, state, outcome: outcome?.kind,
			});
			if (outcome?.kind === 'done') {
				records?.set(service, {...record, rowVersion: outcome.value});
				return true;
			}

			records = undefined;
			return false;
		},
	};
}
