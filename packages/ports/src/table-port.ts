/**
 * Port to the platform's table service. Rows are changed by compare-and-set.
 * Each change carries an identifier: after a lost response, the row's change
 * identifier shows whether the write took effect.
 */

export type Row = {
	readonly key: string;
	/** Increases by one with each change of the row. */
	readonly version: number;
	/** The identifier of the change that wrote this version. */
	readonly changeId: string;
	readonly value: unknown;
};

/** One write of a transaction. An expected version of 0 requires that the row doesn't exist. */
export type RowWrite = {
	readonly key: string;
	readonly expectedVersion: number;
	/** Undefined deletes the row. */
	readonly value: unknown;
};

/**
 * Result of a call. `conflict` means that an expected version didn't match;
 * its rows are the current ones, if the service returns them. `unknown` means
 * that a write may have taken effect; a read is never `unknown`.
 */
export type TableOutcome<Value>
	= | {readonly kind: 'done'; readonly value: Value}
		| {readonly kind: 'conflict'; readonly rows: readonly Row[]}
		| {readonly kind: 'not-done'; readonly reason: string}
		| {readonly kind: 'unknown'; readonly reason: string};

export type TableService = {
	get: (key: string) => Promise<TableOutcome<Row | undefined>>;
	list: (prefix: string) => Promise<TableOutcome<readonly Row[]>>;
	/** Applies all writes or none. */
	transact: (changeId: string, writes: readonly RowWrite[]) => Promise<TableOutcome<readonly Row[]>>;
	close: () => Promise<void>;
};
