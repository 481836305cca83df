/** What of a caller's headers reaches the target, and back. */
import type {IncomingMessage} from 'node:http';
import {headerNames, reservedHeaderPrefix} from './constants.js';

const bearerPrefix = /^bearer +/iv;
const hopByHopHeaders = new Set([
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
const credentialHeaders = new Set(['authorization', 'x-api-key']);

export type ForwardIdentity = {
	readonly requestId: string;
	readonly customer: string | undefined;
	readonly deadlineMilliseconds: number;
};

/** The key that came with the request. */
export function getRequestKey(request: IncomingMessage): string | undefined {
	const {authorization} = request.headers;
	if (authorization && bearerPrefix.test(authorization)) {
		return authorization.replace(bearerPrefix, '').trim();
	}

	const key = request.headers['x-api-key'];
	return typeof key === 'string' ? key : undefined;
}

/** The headers for the target as a flat list of names and values. */
export function getForwardHeaders(request: IncomingMessage, identity: ForwardIdentity): string[] {
	const dropped = getConnectionNames(request.headers.connection);
	const headers = copyHeaders(request.rawHeaders, name =>
		dropped.has(name) || hopByHopHeaders.has(name) || credentialHeaders.has(name) || name.startsWith(reservedHeaderPrefix));
	const deadline = Math.max(0, Math.floor(identity.deadlineMilliseconds));
	headers.push(headerNames.requestId, identity.requestId, headerNames.deadline, String(deadline));
	if (identity.customer !== undefined) {
		headers.push(headerNames.customer, identity.customer);
	}

	return headers;
}

/** The headers of a target's answer for the caller. */
export function getAnswerHeaders(rawHeaders: readonly string[], connection: string | undefined): string[] {
	const dropped = getConnectionNames(connection);
	return copyHeaders(rawHeaders, name => dropped.has(name) || hopByHopHeaders.has(name) || name.startsWith(reservedHeaderPrefix));
}

function getConnectionNames(connection: string | undefined): Set<string> {
	const names = (connection ?? '').split(',').map(name => name.trim().toLowerCase());
	return new Set(names);
}

function copyHeaders(rawHeaders: readonly string[], isDropped: (name: string) => boolean): string[] {
	const copied: string[] = [];
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		const name = rawHeaders[index] ?? '';
		if (!isDropped(name.toLowerCase())) {
			copied.push(name, rawHeaders[index + 1] ?? '');
		}
	}

	return copied;
}
