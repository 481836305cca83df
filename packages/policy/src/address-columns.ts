/**
 * IP addresses in columns of 32-bit words: one word for IPv4, four for IPv6.
 * Stores hundreds of thousands of addresses without an object for each.
 */

/** One column for each word; the addresses are in ascending order. */
export type AddressColumns = readonly Uint32Array[];

/** One address as words, most significant first. */
export type AddressWords = readonly number[];

const bitsPerWord = 32;
const maximumWord = 0xFF_FF_FF_FF;

export function createAddressColumns(wordCount: number, length: number): AddressColumns {
	return Array.from({length: wordCount}, () => new Uint32Array(length));
}

export function readAddress(columns: AddressColumns, index: number): number[] {
	const words: number[] = [];
	for (const column of columns) {
		words.push(column[index] ?? 0);
	}

	return words;
}

export function writeAddress(columns: AddressColumns, index: number, words: AddressWords): void {
	for (const [position, column] of columns.entries()) {
		column[index] = words[position] ?? 0;
	}
}

export function compareAddresses(left: AddressWords, right: AddressWords): number {
	for (const [position, element] of left.entries()) {
		const word = element ?? 0;
		const other = right[position] ?? 0;
		if (word !== other) {
			return word < other ? -1 : 1;
		}
	}

	return 0;
}

/** Compares the address in the columns with the given one, without allocating. */
export function compareAddressAt(columns: AddressColumns, index: number, words: AddressWords): number {
	for (const [position, column] of columns.entries()) {
		const word = column[index] ?? 0;
		const other = words[position] ?? 0;
		if (word !== other) {
			return word < other ? -1 : 1;
		}
	}

	return 0;
}

/** The last address of the prefix of `length` bits whose first address is `words`. */
export function getLastAddress(words: AddressWords, length: number): number[] {
	const last: number[] = [];
	for (const [position, word] of words.entries()) {
		last.push(((word ?? 0) | getHostMask(length, position)) >>> 0);
	}

	return last;
}

/** The first address of the prefix of `length` bits that contains `words`. */
export function getFirstAddress(words: AddressWords, length: number): number[] {
	return words.map((word, position) => (word & ~getHostMask(length, position)) >>> 0);
}

/** The next address; undefined after the last one. */
export function getNextAddress(words: AddressWords): number[] | undefined {
	const next = [...words];
	for (let position = next.length - 1; position >= 0; position--) {
		if (next[position] !== maximumWord) {
			next[position] = (next[position] ?? 0) + 1;
			return next;
		}

		next[position] = 0;
	}

	return undefined;
}

/** The bits of a word that vary within a prefix of the given length. */
function getHostMask(length: number, position: number): number {
	const networkBits = length - (position * bitsPerWord);
	if (networkBits <= 0) {
		return maximumWord;
	}

	return networkBits >= bitsPerWord ? 0 : maximumWord >>> networkBits;
}
