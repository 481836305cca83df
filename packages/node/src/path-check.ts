/**
 * Refuses request paths that a target could normalise to another path, so
 * that no route is reached which the entry didn't check.
 */

/** A dot, slash, backslash or NUL that is percent-encoded once or more often. */
const encodedSeparator = /%(?:25)*(?:2e|2f|5c|00)/iv;
const unsafeCharacter = /[^!-~]|\\/v;
const malformedEncoding = /%(?![\da-f]{2})/iv;

/** Whether the request target is a path that every server reads alike; the query is free. */
export function isUnambiguousPath(requestTarget: string): boolean {
	if (!requestTarget.startsWith('/') || requestTarget.includes('#')) {
		return false;
	}

	const path = requestTarget.split('?', 1)[0] ?? '';
	if (unsafeCharacter.test(path) || encodedSeparator.test(path) || malformedEncoding.test(path)) {
		return false;
	}

	const segments = path.slice(1).split('/');
	return segments.every((segment, index) => isPlainSegment(segment, index === segments.length - 1));
}

/** Path parameters after a semicolon don't hide a dot segment; only the last segment may be empty. */
function isPlainSegment(segment: string, isLast: boolean): boolean {
	const name = segment.split(';', 1)[0] ?? '';
	if (name === '.' || name === '..') {
		return false;
	}

	return isLast || segment !== '';
}
