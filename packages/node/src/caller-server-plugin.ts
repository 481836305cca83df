/**
 * Owns the port that callers use. The directory answers `/v1/entries`; every
 * other request goes to the entry.
 */
import type {Duplex} from 'node:stream';
import {createServer} from 'node:http';
import {type CallerHandler, type NodeContext, nodePlugins} from './node-context.js';
import {closeGracefully, listenOn} from './http-server.js';
import {sendProblem} from './problem.js';

const startOrder = 30;
const directoryPath = '/v1/entries';

nodePlugins.register({
	name: 'caller-server',
	roles: ['entry', 'directory'],
	order: startOrder,
	async start(context) {
		const {limits, timing, listen} = context.settings;
		let isDraining = false;
		const server = createServer({
			maxHeaderSize: limits.headerBytes,
			headersTimeout: limits.headerTimeoutMilliseconds,
			requestTimeout: 0,
			keepAliveTimeout: limits.idleTimeoutMilliseconds,
			connectionsCheckingInterval: Math.min(limits.headerTimeoutMilliseconds, 1000),
			insecureHTTPParser: false,
			noDelay: true,
		}, (request, response) => {
			if (isDraining) {
				response.setHeader('connection', 'close');
			}

			getHandler(context, request.url ?? '/')(request, response);
		});
		server.maxConnections = limits.callerConnections;
		server.on('clientError', refuseMalformed);
		context.bound.caller = await listenOn(server, listen.caller);
		const ending = context.bus.subscribe('drain-started', () => {
			isDraining = true;
		});
		return {
			async drain() {
				const force = setTimeout(() => {
					context.logger.warn('requests_cut_off', {reason: 'the grace time is over'});
					server.closeAllConnections();
				}, timing.graceMilliseconds);
				await closeGracefully(server);
				clearTimeout(force);
			},
			async stop() {
				ending();
				server.closeAllConnections();
			},
		};
	},
});

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

	const {status, reason} = malformedAnswers[error.code ?? ''] ?? malformedDefault;
	const body = JSON.stringify({status: Number(status.slice(0, 3)), outcome: 'not-run', reason});
	socket.end([
		`HTTP/1.1 ${status}`,
		'content-type: application/problem+json',
		`content-length: ${body.length}`,
		'catkindale-outcome: not-run',
		'connection: close',
		'',
		body,
	].join('\r\n'));
}
