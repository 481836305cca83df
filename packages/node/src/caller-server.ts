/**
 * An HTTP server for callers. A malformed request gets a response that states
 * whether the request may have run. During a drain, every request that was
 * read still gets its response.
 */
import type {Duplex} from 'node:stream';
import {
	type IncomingMessage, type Server, type ServerResponse, createServer,
} from 'node:http';
import {getLatestResponse, recordResponse} from './caller-connections.js';
import {type HttpConnections, trackConnections} from './http-connections.js';
import {abortResponse} from './target-response.js';
import type {CallerHandler} from './node-context.js';
import {drainServer} from './http-server.js';
import {type Problem, sendProblem} from './problem.js';

export type CallerServerLimits = {
	readonly headerBytes: number;
	readonly callerConnections: number;
	readonly headerTimeoutMilliseconds: number;
	readonly idleTimeoutMilliseconds: number;
};

export type CallerServer = {
	readonly server: Server;
	/** From now on each response closes its connection. */
	startDraining: () => void;
	/** Waits for the running requests, at most for the grace time. Those that run longer get status 502. */
	drain: (options: CallerServerDrain) => Promise<void>;
	close: () => void;
};

export type CallerServerDrain = {
	readonly graceMilliseconds: number;
	/** Called for each request that is still at work at the end of the grace time. */
	readonly onCutOff: (response: ServerResponse) => void;
};

/** Maximum time between two checks for callers that send their headers too slowly. */
const headerCheckIntervalMilliseconds = 1000;

export function createCallerServer(limits: CallerServerLimits, handleRequest: CallerHandler): CallerServer {
	const closingResponses = new WeakSet<ServerResponse>();
	let isDraining = false;
	/** Announces that the connection closes after this response, so that the caller sends no further request on it. */
	const announceClose = (response: ServerResponse): void => {
		if (!response.headersSent) {
			response.setHeader('connection', 'close');
			closingResponses.add(response);
		}
	};

	/** Takes the announcement back, since another request came behind this one. */
	const withdrawClose = (response: ServerResponse): void => {
		if (closingResponses.delete(response)) {
			response.setHeader('connection', 'keep-alive');
		}
	};

	const malformedConnections = new WeakSet<Duplex>();

	const serve: CallerHandler = (request, response) => {
		if (malformedConnections.has(request.socket)) {
			// A head that came too slowly is complete now, but its refusal is on its way.
			return;
		}

		const previous = getLatestResponse(request.socket);
		if (connections.isClosing(request.socket) || (previous && isLastOfConnection(previous))) {
			// The connection closes before this request could be answered. Its caller sends it again elsewhere.
			request.resume();
			return;
		}

		if (isDraining) {
			if (previous) {
				withdrawClose(previous);
			}

			announceClose(response);
		}

		if (knowsNoPipelining(request)) {
			announceClose(response);
		}

		recordResponse(request.socket, response);
		const hostCount = countHosts(request);
		if (hostCount > 1 || (hostCount === 0 && request.httpVersion !== '1.0')) {
			sendProblem(response, wrongHostProblem);
			return;
		}

		handleRequest(request, response);
	};

	const server = createServer({
		maxHeaderSize: limits.headerBytes,
		headersTimeout: limits.headerTimeoutMilliseconds,
		requestTimeout: 0,
		keepAliveTimeout: limits.idleTimeoutMilliseconds,
		connectionsCheckingInterval: Math.min(limits.headerTimeoutMilliseconds, headerCheckIntervalMilliseconds),
		insecureHTTPParser: false,
		// Node.js would close the connection, also with other requests at work on it.
		requireHostHeader: false,
		noDelay: true,
	}, (request, response) => {
		serve(request, response);
	});
	// `100 Continue` is sent when the body is first read, not before the request is checked.
	server.on('checkContinue', serve);
	server.maxConnections = limits.callerConnections;
	const connections = trackConnections(server);
	server.on('clientError', (error: Error & {code?: string}, socket) => {
		if (malformedConnections.has(socket)) {
			return;
		}

		malformedConnections.add(socket);
		// The latest response distinguishes an error during a request from one before it.
		const latest = getLatestResponse(socket);
		const lastComplete = connections.getOpenResponses(socket).findLast(response => response !== latest || response.req.complete);
		if (lastComplete && socket.writable) {
			lastComplete.once('close', () => {
				refuseMalformedRequest({
					error, socket, latestResponse: latest, connections,
				});
			});
		} else {
			refuseMalformedRequest({
				error, socket, latestResponse: latest, connections,
			});
		}
	});
	// Node.js gives such a connection away, or closes it at once if nothing takes it.
	server.on('connect', (_request, socket) => {
		malformedConnections.add(socket);
		socket.on('error', () => {
			socket.destroy();
		});
		// The HTTP server no longer continues the response at work once the connection has room.
		socket.on('drain', () => {
			connections.getOpenResponses(socket).at(0)?.emit('drain');
		});
		const last = connections.getOpenResponses(socket).at(-1);
		const refuse = (): void => {
			refuseMalformedRequest({
				error: new Error('CONNECT isn\'t served'), socket, latestResponse: last, connections,
			});
		};

		socket.resume();
		if (last) {
			last.once('close', refuse);
		} else {
			refuse();
		}
	});
	return {
		server,
		startDraining() {
			isDraining = true;
		},
		async drain({graceMilliseconds, onCutOff}) {
			for (const response of connections.getLastResponses()) {
				announceClose(response);
			}

			await drainServer({
				server, connections, graceMilliseconds, onGraceEnd() {
					for (const response of connections.getAllOpenResponses()) {
						onCutOff(response);
						sendProblem(response, stoppingProblem);
					}
				},
			});
		},
		close() {
			server.closeAllConnections();
		},
	};
}

/** Whether no request behind this one is begun: the caller was told that the connection closes, or waits for each response. */
function isLastOfConnection(response: ServerResponse): boolean {
	const hasAnnouncedClose = response.headersSent && response.getHeader('connection') === 'close';
	return hasAnnouncedClose || knowsNoPipelining(response.req);
}

/** In HTTP/1.0 the end of the connection may be the only sign of the end of a response. */
function knowsNoPipelining(request: IncomingMessage): boolean {
	return request.httpVersion === '1.0';
}

/** Node.js keeps only the first one in the headers that it has parsed. */
function countHosts({rawHeaders}: IncomingMessage): number {
	return rawHeaders.filter((name, index) => index % 2 === 0 && name.toLowerCase() === 'host').length;
}

/** RFC 9112, section 3.2. */
const wrongHostProblem: Problem = {
	status: 400, outcome: 'not-run', reason: 'malformed-request', detail: 'a request needs one host header',
};

const stoppingProblem: Problem = {
	status: 502, outcome: 'unknown', reason: 'stopping', detail: 'this VM stops before the request has ended',
};

const malformedRequestResponses: Record<string, {readonly status: string; readonly reason: string}> = {
	HPE_HEADER_OVERFLOW: {status: '431 Request Header Fields Too Large', reason: 'header-too-large'},
	ERR_HTTP_REQUEST_TIMEOUT: {status: '408 Request Timeout', reason: 'request-too-slow'},
};
const defaultMalformedRequestResponse = {status: '400 Bad Request', reason: 'malformed-request'};

type MalformedRequest = {
	readonly error: Error & {code?: string};
	readonly socket: Duplex;
	readonly latestResponse: ServerResponse | undefined;
	readonly connections: HttpConnections;
};

function refuseMalformedRequest({error, socket, latestResponse, connections}: MalformedRequest): void {
	if (connections.isClosing(socket)) {
		// The last response has been sent; its caller may still be reading it.
		return;
	}

	if (!socket.writable) {
		socket.destroy();
		return;
	}

	const isDuringRequest = latestResponse !== undefined && !latestResponse.writableFinished;
	if (isDuringRequest && latestResponse.headersSent) {
		abortResponse(latestResponse);
		return;
	}

	// During a request, a part of it may have reached a target already.
	const outcome = isDuringRequest ? 'unknown' : 'not-run';
	const {status, reason} = malformedRequestResponses[error.code ?? ''] ?? defaultMalformedRequestResponse;
	const body = JSON.stringify({status: Number(status.slice(0, 3)), outcome, reason});
	connections.end(socket, [
		`HTTP/1.1 ${status}`,
		'content-type: application/problem+json',
		`content-length: ${body.length}`,
		`catkindale-outcome: ${outcome}`,
		'connection: close',
		'',
		body,
	].join('\r\n'));
}
