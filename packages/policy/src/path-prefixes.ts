/**
 * Index of path prefixes, such as `/orders/`, that finds the longest prefix of a
 * path. Prefixes and paths are compared as they are sent: no character has a
 * special meaning and nothing is decoded. Characters that can't be sent in a
 * path, such as `ø`, are compared in their percent-encoded form.
 */
import {Buffer} from 'node:buffer';

export type PathPrefixes<Value> = {
	/** Adds a prefix. Returns false if it is present already; it then keeps its value. */
	readonly add: (prefix: string, value: Value) => boolean;
	/** Returns the value of the longest prefix that begins the path; undefined if none does. */
	readonly find: (path: string) => Value | undefined;
};

/** A segment of a prefix, with the segments that may follow. */
type Segment<Value> = {readonly next: Map<string, Segment<Value>>; prefix?: {readonly value: Value}};

const separator = '/';
const notSendable = /[^\u0021-\u007E]+/gv;

/** Whether the text begins and ends with a slash. */
export function isPathPrefix(text: string): boolean {
	return text.startsWith(separator) && text.endsWith(separator);
}

/** Percent-encodes the characters of a text that can't be sent in a path. */
export function encodePath(text: string): string {
	return text.replaceAll(notSendable, characters => encodeBytes(Buffer.from(characters, 'utf8')));
}

/** Percent-encodes the bytes beyond ASCII of a path that was received as Latin-1. */
export function encodeReceivedPath(path: string): string {
	return path.replaceAll(notSendable, characters => encodeBytes(Buffer.from(characters, 'latin1')));
}

/** Prefixes and paths are given to the index in their encoded form. */
export function createPathPrefixes<Value>(): PathPrefixes<Value> {
	const root: Segment<Value> = {next: new Map()};
	return {
		add(prefix, value) {
			let segment = root;
			for (const name of prefix.split(separator).slice(0, -1)) {
				const next = segment.next.get(name) ?? {next: new Map()};
				segment.next.set(name, next);
				segment = next;
			}

			if (segment.prefix) {
				return false;
			}

			segment.prefix = {value};
			return true;
		},
		find(path) {
			let longest = root.prefix;
			let segment: Segment<Value> | undefined = root;
			let start = 0;
			for (let end = path.indexOf(separator); end !== -1; end = path.indexOf(separator, start)) {
				segment = segment.next.get(path.slice(start, end));
				if (!segment) {
					break;
				}

				longest = segment.prefix ?? longest;
				start = end + 1;
			}

			return longest?.value;
		},
	};
}

function encodeBytes(bytes: Buffer): string {
	return [...bytes].map(byte => `%${byte.toString(16).toUpperCase().padStart(2, '0')}`).join('');
}
