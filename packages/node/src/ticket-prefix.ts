/**
 * Ticket prefixes: which entry and incarnation may run a request, and since
 * when, signed with the fleet's secret so that no caller can forge one.
 * A ticket is a prefix from a look-up followed by the caller's own suffix.
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

/** Ends with a separator; the caller appends what makes its request unique. */
export function createTicketPrefix(secret: string, prefix: TicketPrefix): string {
	const nonce = randomBytes(nonceBytes).toString('base64url');
	const payload = Buffer.from(JSON.stringify([prefix.entryId, prefix.incarnation, prefix.issuedAt, nonce])).toString('base64url');
	return [marker, payload, sign(secret, payload), ''].join(separator);
}

/** Tells tickets from opaque keys. A key that only looks like a ticket is invalid. */
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

	const [home, incarnation, issuedAt] = payloadSchema.parse(JSON.parse(Buffer.from(payload, 'base64url').toString('utf8')));
	return {
		kind: 'ticket', entryId: home, incarnation, issuedAt,
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
