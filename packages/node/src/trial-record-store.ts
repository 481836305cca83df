/** The port that records the trials of new versions and reports them to operators. */
import type {TrialState} from '@catkindale/protocol';

export type TrialRecord = {
	readonly service: string;
	readonly version: string;
	/** The era and revision of the operator's order. Records of older builds have the era 0. */
	readonly era: number;
	readonly revision: number;
	readonly state: TrialState;
	/** Wall time in milliseconds at which the order was first observed. */
	readonly startedAt: number;
	/** The version of the last completed trial before this one; absent if there was none. */
	readonly settledVersion?: string | undefined;
};

export type StoredTrialRecord = TrialRecord & {
	/** The version of the stored row, which the next write expects. */
	readonly rowVersion: number;
};

export type TrialStoreOutcome<Value>
	= | {readonly kind: 'done'; readonly value: Value}
		/** The row's version isn't the expected one because another node wrote first. */
		| {readonly kind: 'conflict'}
		/** The write may have taken effect. */
		| {readonly kind: 'unknown'; readonly reason: string}
		| {readonly kind: 'not-done'; readonly reason: string};

export type TrialRecordStore = {
	read: () => Promise<TrialStoreOutcome<readonly StoredTrialRecord[]>>;
	/** Records the trial and reports it to operators in one transaction. Returns the row's new version. */
	write: (record: TrialRecord, expectedRowVersion: number) => Promise<TrialStoreOutcome<number>>;
};
