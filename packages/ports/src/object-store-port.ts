/** The port to the platform's object store, for what is too large for a row. */

export type ObjectOutcome<Value>
	= | {readonly kind: 'done'; readonly value: Value}
		| {readonly kind: 'not-done'; readonly reason: string}
		| {readonly kind: 'unknown'; readonly reason: string};

export type ObjectStore = {
	get: (name: string) => Promise<ObjectOutcome<Uint8Array | undefined>>;
	put: (name: string, content: Uint8Array) => Promise<ObjectOutcome<undefined>>;
	close: () => Promise<void>;
};
