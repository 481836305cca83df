/**
 * Framing of messages between nodes: a big-endian length of four bytes, then a
 * CBOR item. A length above the size limit is rejected before the frame's
 * content is received, and the caller closes the connection.
 *
 * A long item is compressed (RFC 1951) and sent as a byte string: tables repeat
 * their field names and identifiers in each row.
 */
import {Buffer} from 'node:buffer';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {Encoder} from 'cbor-x';
import {
	type Result, bytesPerMebibyte, fail, getErrorMessage, succeed,
} from '@catkindale/common';

const lengthBytes = 4;
export const maximumFrameBytes = bytesPerMebibyte;
/** Enough for a hello and a proof. Limits the memory that an unauthenticated peer can use. */
export const maximumHandshakeFrameBytes = 4096;
/** Shorter items aren't worth the processor time. */
const minimumCompressedBytes = 1024;
const fastestLevel = 1;
const encoder = new Encoder({mapsAsObjects: true, useRecords: false});

export type FrameReader = {
	/** Adds received bytes and calls `receive` for each complete frame. A frame that is too large or malformed is an error. */
	push: (chunk: Uint8Array, receive: (frame: unknown) => void) => Result<undefined, string>;
	/** Changes the size limit of the following frames, including those already received with the same chunk. */
	setLimit: (bytes: number) => void;
};

export function encodeFrame(message: unknown): Buffer {
	const body = compress(encoder.encode(message));
	const frame = Buffer.allocUnsafe(lengthBytes + body.length);
	frame.writeUInt32BE(body.length, 0);
	frame.set(body, lengthBytes);
	return frame;
}

export function createFrameReader(initialLimit = maximumFrameBytes): FrameReader {
	let limit = initialLimit;
	let pending: Buffer = Buffer.alloc(0);
	return {
		push(chunk, receive) {
			pending = pending.length === 0 ? Buffer.from(chunk) : Buffer.concat([pending, chunk]);
			while (pending.length >= lengthBytes) {
				const length = pending.readUInt32BE(0);
				if (length > limit) {
					return fail(`a frame of ${length} bytes exceeds the limit of ${limit} bytes`);
				}

				if (pending.length < lengthBytes + length) {
					break;
				}

				const decoded = decodeBody(pending.subarray(lengthBytes, lengthBytes + length));
				if (!decoded.ok) {
					return decoded;
				}

				pending = pending.subarray(lengthBytes + length);
				receive(decoded.value);
			}

			return succeed(undefined);
		},
		setLimit(bytes) {
			limit = bytes;
		},
	};
}

function compress(item: Buffer): Buffer {
	if (item.length < minimumCompressedBytes) {
		return item;
	}

	const compressed = encoder.encode(deflateRawSync(item, {level: fastestLevel}));
	return compressed.length < item.length ? compressed : item;
}

function decodeBody(body: Buffer): Result<unknown, string> {
	try {
		const item = encoder.decode(body) as unknown;
		return succeed(item instanceof Uint8Array ? encoder.decode(inflateRawSync(item, {maxOutputLength: maximumFrameBytes})) as unknown : item);
	} catch (error) {
		return fail(`a frame is not a valid CBOR item: ${getErrorMessage(error)}`);
	}
}
