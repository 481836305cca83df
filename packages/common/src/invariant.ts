/**
 * Assertions of invariants. A violation is a bug in the program: the error is
 * never caught and stops the process.
 */
import VError from 'verror';

export type InvariantDetails = Record<string, string | number | boolean | undefined>;

/** Thrown when an invariant is violated; `info` holds the details. */
export class InvariantError extends VError {
	constructor(invariant: string, details: InvariantDetails) {
		super({name: 'InvariantError', info: {invariant, ...details}}, 'invariant broken: %s %s', invariant, JSON.stringify(details));
	}
}

/** Throws an {@link InvariantError} unless the condition holds. */
export function assertInvariant(condition: boolean, invariant: string, details: InvariantDetails = {}): asserts condition {
	if (!condition) {
		throw new InvariantError(invariant, details);
	}
}
