/**
 * An HTTP server for callers: refuses what isn't HTTP with an answer that
 * tells whether anything of it may have run, and can be drained so that every
 * request that was read is answered.
 */
import type {Duplex} from 'node:stream';
import {type Server, type ServerResponse, createServer} from 'node:http';
import {abortResponse} from './target-response.js';
import type {CallerHandler} from './node-context.js';
import {drainServer} from './http-server.js';

export type CallerServerLimits = {
	readonly headerBytes: number;
	readonly callerConnections: number;
	readonly headerTimeoutMilliseconds: number;
	readonly idleTimeoutMilliseconds: number;
};

export type CallerServer = {
	readonly server: Server;
	/** From now on each answer ends its connection. */
	startDraining: () => void;
	/** Waits for what runs, at most for the grace time. */
	drain: (graceMilliseconds: number) => Promise<void>;
	close: () => void;
};

/** The longest time between two looks for callers that send their headers too slowly. */
const slowCallerCheckMilliseconds = 1000;

export function createCallerServer(limits: CallerServerLimits, handle: CallerHandler): CallerServer {
	/** The latest response on each connection, to tell a fault in mid-request from one before it. */
	const latestResponses = new WeakMap<Duplex, ServerResponse>();
	const running = new Set<ServerResponse>();
	let isDraining = false;
	const serve: CallerHandler = (request, response) => {
		if (isDraining) {
			announceClose(response);
		}

		latestResponses.set(request.socket, response);
		running.add(response);
		response.once('close', () => {
			running.delete(response);
		});
		handle(request, response);
	};

	const server = createServer({
		maxHeaderSize: limits.headerBytes,
		headersTimeout: limits.headerTimeoutMilliseconds,
		requestTimeout: 0,
		keepAliveTimeout: limits.idleTimeoutMilliseconds,
		connectionsCheckingInterval: Math.min(limits.headerTimeoutMilliseconds, slowCallerCheckMilliseconds),
		insecureHTTPParser: false,
		noDelay: true,
	}, (request, response) => {
		serve(request, response);
	});
	// The body is asked for when it is first read, not before the request is checked.
	server.on('checkContinue', serve);
	server.maxConnections = limits.callerConnections;
	server.on('clientError', (error: Error & {code?: string}, socket) => {
		refuseMalformed(error, socket, latestResponses.get(socket));
	});
	return {
		server,
		startDraining() {
			isDraining = true;
		},
		async drain(graceMilliseconds) {
			for (const response of running) {
				announceClose(response);
			}

			await drainServer(server, graceMilliseconds);
		},
		close() {
			server.closeAllConnections();
		},
	};
}

/** Tells the caller that its connection ends with this answer, so that it sends no more on it. */
function announceClose(response: ServerResponse): void {
	if (!response.headersSent) {
		response.setHeader('connection', 'close');
	}
}

const malformedAnswers: Record<string, {readonly status: string; readonly reason: string}> = {
	HPE_HEADER_OVERFLOW: {status: '431 Request Header Fields Too Large', reason: 'header-too-large'},
	ERR_HTTP_REQUEST_TIMEOUT: {status: '408 Request Timeout', reason: 'request-too-slow'},
};
const malformedDefault = {status: '400 Bad Request', reason: 'malformed-request'};

function refuseMalformed(error: Error & {code?: string}, socket: Duplex, running: ServerResponse | undefined): void {
	if (!socket.writable) {
		socket.destroy();
		return;
	}

	const isInRequest = running !== undefined && !running.writableFinished;
	if (isInRequest && running.headersSent) {
		abortResponse(running);
		return;
	}

	// In mid-request some of it may be with a target already.
	const outcome = isInRequest ? 'unknown' : 'not-run';
	const {status, reason} = malformedAnswers[error.code ?? ''] ?? malformedDefault;
	const body = JSON.stringify({status: Number(status.slice(0, 3)), outcome, reason});
	socket.end([
		`HTTP/1.1 ${status}`,
		'content-type: application/problem+json',
		`content-length: ${body.length}`,
		`catkindale-outcome: ${outcome}`,
		'connection: close',
		'',
		body,
	].join('\r\n'));
}
