/** Reads the message and code of a caught value, which may be anything. */

export function getErrorMessage(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}

/** Returns the code of a system or library error, such as `ECONNREFUSED`. */
export function getErrorCode(error: unknown): string | undefined {
	if (error instanceof Error && 'code' in error && typeof error.code === 'string') {
		return error.code;
	}

	return undefined;
}
