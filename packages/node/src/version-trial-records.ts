/**
 * What is recorded of the latest move of each service to a new version. After
 * a conflict or a lost answer the record itself tells what holds, so that it
 * must be read again.
 */
import type {Clock, Logger} from '@catkindale/common';
import type {TrialState} from '@catkindale/protocol';
import type {StoredTrialRecord, TrialRecord, TrialRecordStore} from './trial-record-store.js';
import type {Trial} from './version-trials.js';

export type TrialRecords = {
	/** Whether the records are known: they were read, and every write since is settled. */
	isCurrent: () => boolean;
	/** Whether the store gives no answer to the latest call, or none that tells anything. */
	isStoreUnreachable: () => boolean;
	/** Reads all records; none when they can't be read now. */
	read: () => Promise<readonly TrialRecord[]>;
	/** Whether the record says this already. */
	isRecorded: (trial: Trial, state: TrialState) => boolean;
	/** Whether the record is of this move, and not of an earlier one of the service. */
	hasRecordOf: (trial: Trial) => boolean;
	/** Whether the state was recorded. */
	write: (trial: Trial, state: TrialState) => Promise<boolean>;
};

export type TrialRecordsOptions = {
	/** Absent where moves aren't recorded. */
	readonly store: TrialRecordStore | undefined;
	readonly clock: Clock;
	readonly logger: Logger;
};

/** The version that the service was moved to completely before a move, as far as a record tells. */
export function getSettledVersion(record: TrialRecord, revision: number): string | undefined {
	return record.revision < revision && record.state === 'complete' ? record.version : record.settledVersion;
}

/** A store that answers takes some milliseconds, a slow one a few hundred; what is later comes too late for the last step of a move. */
const answerMilliseconds = 500;

export function createTrialRecords({store: board, clock, logger}: TrialRecordsOptions): TrialRecords {
	let records: Map<string, StoredTrialRecord> | undefined;
	let hasFailed = false;
	let askedAt: number | undefined;
	const call = async <Outcome extends {readonly kind: string}>(asked: Promise<Outcome> | undefined): Promise<Outcome | undefined> => {
		askedAt = clock.monotonic();
		const outcome = await asked;
		askedAt = undefined;
		hasFailed = outcome?.kind === 'not-done' || outcome?.kind === 'unknown';
		return outcome;
	};

	return {
		isCurrent: () => records !== undefined,
		isStoreUnreachable: () => hasFailed || (askedAt !== undefined && clock.monotonic() - askedAt > answerMilliseconds),
		async read() {
			const outcome = await call(board?.read());
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
			const known = records?.get(service);
			const record = {
				service,
				version,
				revision,
				state,
				startedAt: clock.wall() - (clock.monotonic() - trial.startedAt),
				settledVersion: known && getSettledVersion(known, revision),
			};
			const outcome = await call(board?.write(record, known?.rowVersion ?? 0));
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
