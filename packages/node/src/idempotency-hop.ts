/**
 * Forwards a repeated request by one hop to the entry that may have its
 * outcome. The hop is signed with the fleet's secret: the receiving entry
 * neither admits the request a second time nor forwards it again.
 */
import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createConnector} from '@catkindale/ports';
import {Pool} from 'undici';
import type {CallerBody} from './caller-body.js';
import {headerNames} from './constants.js';
import type {ExchangeResult} from './exchange-result.js';
import {forwardRequest} from './forward.js';
import {getForwardHeaders, idempotencyKeyHeader} from './request-headers.js';

export type ForwardedRequest = {
	readonly address: string;
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly requestId: string;
	readonly key: string | undefined;
	readonly body: CallerBody;
	readonly deadlineMilliseconds: number;
	readonly signal: AbortSignal;
};

export type EntryForwarder = {
	/** Resolves with undefined if the entry couldn't be reached or its response was lost. */
	forward: (forwarded: ForwardedRequest) => Promise<ExchangeResult | undefined>;
	close: () => Promise<void>;
};

export const hopHeader = 'catkindale-hop';
const maximumPools = 64;

export function createEntryForwarder(secret: string): EntryForwarder {
	const pools = new Map<string, Pool>();
	const getPool = (address: string): Pool => {
		const existingPool = pools.get(address);
		if (existingPool) {
			return existingPool;
		}

		const [oldest] = pools;
		if (oldest && pools.size >= maximumPools) {
			pools.delete(oldest[0]);
			void oldest[1].close();
		}

		const pool = new Pool(`http://${address}`, {pipelining: 1, connect: createConnector()});
		pools.set(address, pool);
		return pool;
	};

	return {
		async forward(forwarded) {
			const {request, response, requestId, deadlineMilliseconds, body, signal} = forwarded;
			const headers = getForwardHeaders(request, {
				key: forwarded.key, requestId, customer: undefined, deadlineMilliseconds,
			});
			headers.push('x-api-key', forwarded.key ?? '', hopHeader, signHop(secret, requestId, getIdempotencyKey(request)));
			const attempt = forwardRequest({
				dispatcher: getPool(forwarded.address),
				method: request.method ?? 'POST',
				path: request.url ?? '/',
				headers,
				body: body.open() ?? null,
				requestId,
				deadlineMilliseconds,
				requiresRequestIdEcho: true,
				isPeer: true,
				claimResponse: () => response.headersSent || response.destroyed ? undefined : response,
			});
			const cancel = (): void => {
				attempt.abort('caller-gone');
			};

			signal.addEventListener('abort', cancel);
			const outcome = await attempt.outcome;
			signal.removeEventListener('abort', cancel);
			switch (outcome.kind) {
				case 'answered': {
					return {kind: 'answered', response: outcome.response};
				}

				case 'streamed': {
					return {kind: 'streamed', status: outcome.status};
				}

				case 'lost': {
					return outcome.isStreaming ? {kind: 'cut'} : undefined;
				}

				case 'shed':
				case 'not-sent': {
					return undefined;
				}
			}
		},
		async close() {
			await Promise.all([...pools.values()].map(async pool => pool.destroy()));
		},
	};
}

/** Whether another entry of the fleet has admitted the request and forwarded it here. */
export function isSignedHop(secret: string, request: IncomingMessage): boolean {
	const receivedSignature = request.headers[hopHeader];
	const requestId = request.headers[headerNames.requestId];
	if (typeof receivedSignature !== 'string' || typeof requestId !== 'string') {
		return false;
	}

	const expected = Buffer.from(signHop(secret, requestId, getIdempotencyKey(request)));
	const actual = Buffer.from(receivedSignature);
	return expected.length === actual.length && timingSafeEqual(expected, actual);
}

export function getIdempotencyKey(request: IncomingMessage): string {
	return String(request.headers[idempotencyKeyHeader] ?? '');
}

function signHop(secret: string, requestId: string, idempotencyKey: string): string {
	return createHmac('sha256', secret).update(JSON.stringify(['hop', requestId, idempotencyKey])).digest('base64url');
}
