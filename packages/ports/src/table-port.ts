/**
 * The port to the platform's table service: rows changed by compare-and-set,
 * each change carrying an identifier by which a lost answer is resolved.
 */

export type Row = {
	readonly key: string;
	/** Rises by one with each change of the row. */
	readonly version: number;
	/** The identifier of the change that wrote this version. */
	readonly changeId: string;
	readonly value: unknown;
};

/** One write of a transaction. Version 0 expects that the row isn't there. */
export type RowWrite = {
	readonly key: string;
	readonly expectedVersion: number;
	/** Undefined deletes the row. */
	readonly value: unknown;
};

/**
 * What became of a call. `unknown` means that a write may have taken effect;
 * a read is never `unknown`.
 */
export type TableOutcome<Value>
	= | {readonly kind: 'done'; readonly value: Value}
		| {readonly kind: 'conflict'; readonly rows: readonly Row[]}
		| {readonly kind: 'not-done'; readonly reason: string}
		| {readonly kind: 'unknown'; readonly reason: string};

export type TableService = {
	get: (key: string) => Promise<TableOutcome<Row | undefined>>;
	list: (prefix: string) => Promise<TableOutcome<readonly Row[]>>;
	/** All writes take effect together or none does. */
	transact: (changeId: string, writes: readonly RowWrite[]) => Promise<TableOutcome<readonly Row[]>>;
	close: () => Promise<void>;
};
