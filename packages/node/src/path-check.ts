/**
 * Rejects request paths that a target could normalise to another path, so that
 * no request reaches a route that the entry didn't check.
 */

/** A dot, slash, backslash or NUL that is percent-encoded one or more times. */
const encodedSeparator = /%(?:25)*(?:2e|2f|5c|00)/iv;
const unsafeCharacter = /[^!-~]|\\/v;
const malformedEncoding = /%(?![\da-f]{2})/iv;

/** Whether all servers interpret the path of the request target in the same way; the query isn't checked. */
export function isUnambiguousPath(requestTarget: string): boolean {
	if (!requestTarget.startsWith('/') || requestTarget.includes('#')) {
		return false;
	}

	const path = requestTarget.split('?', 1)[0] ?? '';
	if (unsafeCharacter.test(path) || encodedSeparator.test(path) || malformedEncoding.test(path)) {
		return false;
	}

	const segments = path.slice(1).split('/');
	return segments.every((segment, index) => isUnambiguousSegment(segment, index === segments.length - 1));
}

/** Ignores path parameters after a semicolon, which could hide a dot segment. Only the last segment may be empty. */
function isUnambiguousSegment(segment: string, isLast: boolean): boolean {
	const name = segment.split(';', 1)[0] ?? '';
	if (name === '.' || name === '..') {
		return false;
	}

	return isLast || segment !== '';
}
