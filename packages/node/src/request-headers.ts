/** Selects the headers that are forwarded from callers to targets and back. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {headerNames, reservedHeaderPrefix} from './constants.js';

export const bearerPrefix = /^bearer +/iv;
export const hopByHopHeaders = new Set([
	'connection',
	'keep-alive',
	'proxy-connection',
	'proxy-authenticate',
	'proxy-authorization',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'expect',
]);
const beyondAscii = /\P{ASCII}/v;
const keyHeaders = new Set(['authorization', 'x-api-key']);
const cookieHeader = 'cookie';
export const idempotencyKeyHeader = 'idempotency-key';
const idempotencyKeyHeaders = new Set([idempotencyKeyHeader]);

export type ForwardIdentity = {
	/** The key sent with the request. No header that contains it is forwarded, except cookies. */
	readonly key: string | undefined;
	readonly requestId: string;
	readonly customer: string | undefined;
	readonly deadlineMilliseconds: number;
};

/** Reads the key from the `Authorization` or the `X-Api-Key` header. */
export function getRequestKey(request: IncomingMessage): string | undefined {
	const {authorization} = request.headers;
	if (authorization && bearerPrefix.test(authorization)) {
		return authorization.replace(bearerPrefix, '').trim();
	}

	const key = request.headers['x-api-key'];
	return typeof key === 'string' ? key : undefined;
}

/** Whether more than one header has a key, which makes the customer of the request ambiguous. */
export function hasMultipleKeys(request: IncomingMessage): boolean {
	return countHeaders(request, keyHeaders) > 1;
}

export function hasMultipleIdempotencyKeys(request: IncomingMessage): boolean {
	return countHeaders(request, idempotencyKeyHeaders) > 1;
}

function countHeaders(request: IncomingMessage, names: ReadonlySet<string>): number {
	let count = 0;
	for (let index = 0; index < request.rawHeaders.length; index += 2) {
		count += names.has(request.rawHeaders[index]?.toLowerCase() ?? '') ? 1 : 0;
	}

	return count;
}

/** Builds the headers for the target as a flat list of names and values. */
export function getForwardHeaders(request: IncomingMessage, identity: ForwardIdentity): string[] {
	const connectionHeaders = getConnectionHeaderNames(request.headers.connection);
	const {key} = identity;
	const headers = copyHeaders(request.rawHeaders, (name, value) =>
		connectionHeaders.has(name) || hopByHopHeaders.has(name) || keyHeaders.has(name) || name.startsWith(reservedHeaderPrefix)
		|| (key !== undefined && key !== '' && name !== cookieHeader && value.includes(key)));
	const deadline = Math.max(0, Math.floor(identity.deadlineMilliseconds));
	headers.push(headerNames.requestId, identity.requestId, headerNames.deadline, String(deadline));
	if (identity.customer !== undefined) {
		headers.push(headerNames.customer, encodeHeaderText(identity.customer));
	}

	return headers;
}

/** Selects the headers of a target's response for the caller. */
export function getResponseHeaders(rawHeaders: readonly string[], connection: string | undefined): string[] {
	const connectionHeaders = getConnectionHeaderNames(connection);
	return copyHeaders(rawHeaders, name => connectionHeaders.has(name) || hopByHopHeaders.has(name) || name.startsWith(reservedHeaderPrefix));
}

/** Returns the headers that `Connection` lists, without `Content-Length` and `Host`, which are always forwarded. */
export function getConnectionHeaderNames(connection: string | undefined): Set<string> {
	const names = (connection ?? '').split(',').map(name => name.trim().toLowerCase());
	return new Set(names.filter(name => name !== 'content-length' && name !== 'host'));
}

export function copyHeaders(rawHeaders: readonly string[], isDropped: (name: string, value: string) => boolean): string[] {
	const copied: string[] = [];
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		const name = rawHeaders[index] ?? '';
		const value = rawHeaders[index + 1] ?? '';
		if (!isDropped(name.toLowerCase(), value)) {
			copied.push(name, value);
		}
	}

	return copied;
}

/** Encodes a text as UTF-8 for a header; the HTTP client sends each character as one byte. */
export function encodeHeaderText(text: string): string {
	return beyondAscii.test(text) ? Buffer.from(text, 'utf8').toString('latin1') : text;
}

/** Decodes a header with UTF-8 text, of which the HTTP parser returns each byte as one character. */
export function decodeHeaderText(value: string): string {
	return beyondAscii.test(value) ? Buffer.from(value, 'latin1').toString('utf8') : value;
}
