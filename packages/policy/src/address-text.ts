/**
 * Parses addresses in their most common text forms, without regular
 * expressions as every lookup parses one. The library parses other forms.
 */

const dot = 46;
const colon = 58;
const digitZero = 48;
const digitNine = 57;
const letterLowerA = 97;
const letterLowerF = 102;
const letterUpperA = 65;
const letterUpperF = 70;
const maximumByte = 255;
const digitsPerGroup = 4;
const bytesPerIpv4 = 4;
const groupsPerIpv6 = 8;

/** Parses dotted decimals without leading zeros to one unsigned word; undefined for anything else. */
export function parseIpv4Word(text: string): number | undefined {
	let word = 0;
	let byte = -1;
	let bytes = 0;
	for (let index = 0; index <= text.length; index++) {
		const code = index === text.length ? dot : text.codePointAt(index) ?? 0;
		if (code === dot) {
			if (byte < 0 || byte > maximumByte) {
				return undefined;
			}

			word = ((word << 8) | byte) >>> 0;
			byte = -1;
			bytes += 1;
		} else if (code >= digitZero && code <= digitNine && byte !== 0) {
			byte = (Math.max(byte, 0) * 10) + code - digitZero;
		} else {
			return undefined;
		}
	}

	return bytes === bytesPerIpv4 ? word : undefined;
}

/** Parses hexadecimal groups with at most one `::` to four words; undefined for anything else. */
export function parseIpv6Words(text: string): number[] | undefined {
	const groups: number[] = [];
	let gapAt = -1;
	let group = -1;
	let digits = 0;
	for (let index = 0; index < text.length; index++) {
		const code = text.codePointAt(index) ?? 0;
		if (code !== colon) {
			const digit = getHexadecimalDigit(code);
			group = (Math.max(group, 0) * 16) + digit;
			digits += 1;
			if (digit < 0 || digits > digitsPerGroup) {
				return undefined;
			}

			continue;
		}

		const isGap = text.codePointAt(index + 1) === colon;
		if ((isGap && gapAt >= 0) || (group < 0 && !isGap)) {
			return undefined;
		}

		if (group >= 0) {
			groups.push(group);
		}

		group = -1;
		digits = 0;
		if (isGap) {
			gapAt = groups.length;
			index += 1;
		}
	}

	if (group >= 0) {
		groups.push(group);
	}

	return isComplete(groups, gapAt, group) ? joinGroups(groups, gapAt) : undefined;
}

function isComplete(groups: readonly number[], gapAt: number, lastGroup: number): boolean {
	const hasValidEnd = lastGroup >= 0 || gapAt === groups.length;
	return hasValidEnd && (gapAt < 0 ? groups.length === groupsPerIpv6 : groups.length < groupsPerIpv6);
}

function joinGroups(groups: readonly number[], gapAt: number): number[] {
	const words = [0, 0, 0, 0];
	const missing = groupsPerIpv6 - groups.length;
	for (const [index, group] of groups.entries()) {
		const position = gapAt >= 0 && index >= gapAt ? index + missing : index;
		const word = position >>> 1;
		words[word] = (words[word]! | (position % 2 === 0 ? group << 16 : group)) >>> 0;
	}

	return words;
}

function getHexadecimalDigit(code: number): number {
	if (code >= digitZero && code <= digitNine) {
		return code - digitZero;
	}

	if (code >= letterLowerA && code <= letterLowerF) {
		return code - letterLowerA + 10;
	}

	return code >= letterUpperA && code <= letterUpperF ? code - letterUpperA + 10 : Number.NEGATIVE_INFINITY;
}
