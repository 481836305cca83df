/**
 * Owns the port that callers use. The directory answers `/v1/entries`; every
 * other request goes to the entry.
 */
import type {Duplex} from 'node:stream';
import {type ServerResponse, createServer} from 'node:http';
import {abortAnswer} from './answer.js';
import {type CallerHandler, type NodeContext, nodePlugins} from './node-context.js';
import {drainServer, listenOn} from './http-server.js';
import {sendProblem} from './problem.js';

const startOrder = 30;
const directoryPath = '/v1/entries';

/** The latest response on each connection, to tell a fault in mid-request from one before it. */
const latestResponses = new WeakMap<Duplex, ServerResponse>();

nodePlugins.register({
	name: 'caller-server',
	roles: ['entry', 'directory'],
	order: startOrder,
	async start(context) {
		const {limits, timing, listen} = context.settings;
		let isDraining = false;
		const running = new Set<ServerResponse>();
		const serve: CallerHandler = (request, response) => {
			if (isDraining) {
				announceClose(response);
			}

			latestResponses.set(request.socket, response);
			running.add(response);
			response.once('close', () => {
				running.delete(response);
			});
			getHandler(context, request.url ?? '/')(request, response);
		};

		const server = createServer({
			maxHeaderSize: limits.headerBytes,
			headersTimeout: limits.headerTimeoutMilliseconds,
			requestTimeout: 0,
			keepAliveTimeout: limits.idleTimeoutMilliseconds,
			connectionsCheckingInterval: Math.min(limits.headerTimeoutMilliseconds, 1000),
			insecureHTTPParser: false,
			noDelay: true,
		}, (request, response) => {
			serve(request, response);
		});
		// The body is asked for when it is first read, not before the request is checked.
		server.on('checkContinue', serve);
		server.maxConnections = limits.callerConnections;
		server.on('clientError', refuseMalformed);
		context.bound.caller = await listenOn(server, listen.caller);
		// Callers that hold an older look-up are served for a while, each answer ending its connection.
		const ending = context.bus.subscribe('drain-started', () => {
			isDraining = true;
		});
		return {
			async drain() {
				for (const response of running) {
					announceClose(response);
				}

				await drainServer(server, timing.graceMilliseconds);
			},
			async stop() {
				ending();
				server.closeAllConnections();
			},
		};
	},
});

/** Tells the caller that its connection ends with this answer, so that it sends no more on it. */
function announceClose(response: ServerResponse): void {
	if (!response.headersSent) {
		response.setHeader('connection', 'close');
	}
}

function getHandler(context: NodeContext, url: string): CallerHandler {
	const path = url.split('?', 1)[0];
	const handler = path === directoryPath ? context.callerHandlers.directory : context.callerHandlers.entry;
	return handler ?? refuseUnserved;
}

const refuseUnserved: CallerHandler = (_request, response) => {
	sendProblem(response, {
		status: 404, outcome: 'not-run', reason: 'role-off', detail: 'this VM doesn\'t serve that path',
	});
};

const malformedAnswers: Record<string, {readonly status: string; readonly reason: string}> = {
	HPE_HEADER_OVERFLOW: {status: '431 Request Header Fields Too Large', reason: 'header-too-large'},
	ERR_HTTP_REQUEST_TIMEOUT: {status: '408 Request Timeout', reason: 'request-too-slow'},
};
const malformedDefault = {status: '400 Bad Request', reason: 'malformed-request'};

function refuseMalformed(error: Error & {code?: string}, socket: Duplex): void {
	if (!socket.writable) {
		socket.destroy();
		return;
	}

	const running = latestResponses.get(socket);
	const isInRequest = running !== undefined && !running.writableFinished;
	if (isInRequest && running.headersSent) {
		abortAnswer(running);
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
