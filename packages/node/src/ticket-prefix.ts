/**
 * Ticket prefixes state which entry and incarnation may run a request and when
 * they were issued. They are signed with the fleet's secret, so that callers
 * can't forge them. A ticket is a prefix from a lookup followed by a suffix of
 * the caller's choice.
 */
import {Buffer} from 'node:buffer';
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import * as z from 'zod';

export type TicketPrefix = {
	/** The identifier of the entry that may run the request. */
	readonly entryId: string;
	readonly incarnation: string;
	/** Wall time in milliseconds. */
	readonly issuedAt: number;
};

export type IdempotencyKey
	= | ({readonly kind: 'ticket'} & TicketPrefix)
		| {readonly kind: 'opaque'}
		| {readonly kind: 'invalid'};

const marker = 't1';
const separator = '.';
const nonceBytes = 6;
const signatureBytes = 16;
const maximumKeyLength = 512;
const payloadSchema = z.tuple([z.string(), z.string(), z.number(), z.string()]);

/** The prefix ends with a separator; the caller appends a suffix that is unique to its request. */
export function createTicketPrefix(secret: string, prefix: TicketPrefix): string {
	const nonce = randomBytes(nonceBytes).toString('base64url');
	const payload = Buffer.from(JSON.stringify([prefix.entryId, prefix.incarnation, prefix.issuedAt, nonce])).toString('base64url');
	return [marker, payload, sign(secret, payload), ''].join(separator);
}

/** Distinguishes tickets from opaque keys. A key with the ticket marker but no valid signature or suffix is invalid. */
export function parseIdempotencyKey(secret: string, key: string): IdempotencyKey {
	if (key.length === 0 || key.length > maximumKeyLength) {
		return {kind: 'invalid'};
	}

	const [keyMarker, payload = '', signature = '', ...suffix] = key.split(separator);
	if (keyMarker !== marker) {
		return {kind: 'opaque'};
	}

	if (suffix.join(separator) === '' || !isEqualText(signature, sign(secret, payload))) {
		return {kind: 'invalid'};
	}

	const [entryId, incarnation, issuedAt] = payloadSchema.parse(JSON.parse(Buffer.from(payload, 'base64url').toString('utf8')));
	return {
		kind: 'ticket', entryId, incarnation, issuedAt,
	};
}

function sign(secret: string, payload: string): string {
	return createHmac('sha256', secret).update(`ticket ${payload}`).digest().subarray(0, signatureBytes).toString('base64url');
}

function isEqualText(left: string, right: string): boolean {
	const leftBytes = Buffer.from(left);
	const rightBytes = Buffer.from(right);
	return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes);
}
