/** Outcomes are values: what became of a request or of a call. */

/**
 * What became of a caller's request. `not-run` promises that nothing of it
 * was ever handed to a target.
 */
export const requestOutcomes = ['not-run', 'ran', 'unknown'] as const;
export type RequestOutcome = typeof requestOutcomes[number];

/** A value or a typed error, for everything that may fail in normal use. */
export type Result<Value, Failure>
	= | {readonly ok: true; readonly value: Value}
		| {readonly ok: false; readonly error: Failure};

export function succeed<Value>(value: Value): {readonly ok: true; readonly value: Value} {
	return {ok: true, value};
}

export function fail<Failure>(error: Failure): {readonly ok: false; readonly error: Failure} {
	return {ok: false, error};
}
