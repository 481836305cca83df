/**
 * Caches the stored record of each service's latest trial. After a conflict or
 * a lost response only the stored record is authoritative, so the records must
 * be read again.
 */
import type {Clock, Logger} from '@catkindale/common';
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
	/** Whether the trial is already recorded in this state. */
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

/** Returns the version of the last completed trial before the trial of this revision; undefined if the record has none. */
export function getSettledVersion(record: TrialRecord, revision: number): string | undefined {
	return record.revision < revision && record.state === 'complete' ? record.version : record.settledVersion;
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
			return record?.revision === trial.revision && record.state === state;
		},
		hasRecordOf: trial => records?.get(trial.service)?.revision === trial.revision,
		async write(trial, state) {
			const {service, version, revision} = trial;
			const previous = records?.get(service);
			const record = {
				service,
				version,
				revision,
				state,
				startedAt: clock.wall() - (clock.monotonic() - trial.startedAt),
				settledVersion: previous && getSettledVersion(previous, revision),
			};
			const outcome = await call(store?.write(record, previous?.rowVersion ?? 0));
			logger.info('version_record_written', {
				service, version, revision, state, outcome: outcome?.kind,
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
