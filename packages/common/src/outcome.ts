/** Results of requests and calls, returned as values instead of thrown errors. */

/**
 * Whether a target executed a caller's request. `not-run` guarantees that no
 * part of the request was sent to a target.
 */
export const requestOutcomes = ['not-run', 'ran', 'unknown'] as const;
export type RequestOutcome = typeof requestOutcomes[number];

/** A value or a typed error, for operations that can fail in normal operation. */
export type Result<Value, Failure>
	= | {readonly ok: true; readonly value: Value}
		| {readonly ok: false; readonly error: Failure};

export function succeed<Value>(value: Value): {readonly ok: true; readonly value: Value} {
	return {ok: true, value};
}

export function fail<Failure>(error: Failure): {readonly ok: false; readonly error: Failure} {
	return {ok: false, error};
}
