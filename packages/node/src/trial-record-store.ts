/** The port through which moves to new versions are recorded and reported to operators. */
import type {TrialState} from '@catkindale/protocol';

export type TrialRecord = {
	readonly service: string;
	readonly version: string;
	/** Of the operator's order. */
	readonly revision: number;
	readonly state: TrialState;
	/** When the order was first seen; wall time in milliseconds. */
	readonly startedAt: number;
	/** The version of the last complete move before this one; absent if there was none. */
	readonly settledVersion?: string | undefined;
};

export type StoredTrialRecord = TrialRecord & {
	/** Of the stored row, for the condition of the next write. */
	readonly rowVersion: number;
};

export type TrialStoreOutcome<Value>
	= | {readonly kind: 'done'; readonly value: Value}
		/** Another node wrote first. */
		| {readonly kind: 'conflict'}
		/** The write may have taken effect. */
		| {readonly kind: 'unknown'; readonly reason: string}
		| {readonly kind: 'not-done'; readonly reason: string};

export type TrialRecordStore = {
	read: () => Promise<TrialStoreOutcome<readonly StoredTrialRecord[]>>;
	/** Records the move and tells operators of it, both or neither; gives the row's new version. */
	write: (record: TrialRecord, expectedRowVersion: number) => Promise<TrialStoreOutcome<number>>;
};
