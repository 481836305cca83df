/** Port to the platform's object store, for data that is too large for a table row. */

/** Result of a call. `unknown` means that a write may have taken effect; a read is never `unknown`. */
export type ObjectOutcome<Value>
	= | {readonly kind: 'done'; readonly value: Value}
		| {readonly kind: 'not-done'; readonly reason: string}
		| {readonly kind: 'unknown'; readonly reason: string};

export type ObjectStore = {
	/** Returns undefined for an object that doesn't exist. */
	get: (name: string) => Promise<ObjectOutcome<Uint8Array | undefined>>;
	put: (name: string, content: Uint8Array) => Promise<ObjectOutcome<undefined>>;
	close: () => Promise<void>;
};
