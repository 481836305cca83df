/** Serves the admin API over HTTP. Every request needs the operator's token. */
import {Buffer} from 'node:buffer';
import {timingSafeEqual} from 'node:crypto';
import {type IncomingMessage, type ServerResponse, createServer} from 'node:http';
import {getErrorMessage, hashText} from '@catkindale/common';
import {type AdminResponse, findAdminAction} from './admin-actions.js';
import {maximumAdminBodyBytes, readAdminBody} from './admin-body.js';
import {type AdminState, createAdminState} from './admin-state.js';
import {trackConnections} from './http-connections.js';
import {closeGracefully, listenOn, splitUrl} from './http-server.js';
import {type NodeContext, nodePlugins} from './node-context.js';
import {getRequestKey} from './request-headers.js';
import './apply-action.js';
import './configuration-action.js';
import './cut-action.js';
import './drain-action.js';
import './key-action.js';
import './rollout-actions.js';
import './status-action.js';

const startOrder = 15;
/** An action that takes longer than this at the end of a stop is cut off, so that it can't keep the process from ending. */
const maximumActionMilliseconds = 5000;

nodePlugins.register({
	name: 'admin',
	roles: ['admin'],
	order: startOrder,
	async start(context) {
		const state = createAdminState();
		const subscriptions = [
			context.bus.subscribe('configuration-changed', message => {
				state.configuration = message;
			}),
			context.bus.subscribe('configuration-known', ({record}) => {
				state.latestRecord = record;
			}),
			context.bus.subscribe('restrictions-changed', message => {
				state.restrictions = message.restrictions;
			}),
			context.bus.subscribe('unavailable-members-changed', message => {
				state.unavailableMembers = message.ids;
			}),
			context.bus.subscribe('members-received', message => {
				state.members = message.members;
			}),
			context.bus.subscribe('membership-changed', message => {
				state.members = message.members;
			}),
			context.bus.subscribe('machines-listed', ({machines}) => {
				state.liveMachineCount = machines.filter(machine => machine.state === 'live').length;
			}),
			context.bus.subscribe('peer-received', ({from, message}) => {
				if (message.type === 'heartbeat' && message.isEstablished) {
					state.peerVersions.set(from, message.configurationVersion);
				}
			}),
		];
		const server = createServer((request, response) => {
			void serve(context, state, request, response);
		});
		const connections = trackConnections(server);
		context.boundAddresses.admin = await listenOn(server, context.settings.listen.admin);
		return {
			async stop() {
				for (const unsubscribe of subscriptions) {
					unsubscribe();
				}

				await closeGracefully(server, connections, maximumActionMilliseconds);
			},
		};
	},
});

async function serve(context: NodeContext, state: AdminState, request: IncomingMessage, response: ServerResponse): Promise<void> {
	const result = await runAction(context, state, request);
	if (!result) {
		response.destroy();
		return;
	}

	response.writeHead(result.status, {'content-type': 'application/json'});
	response.end(JSON.stringify(result.body));
}

/** Returns undefined if the operator closed the connection during the request. */
async function runAction(context: NodeContext, state: AdminState, request: IncomingMessage): Promise<AdminResponse | undefined> {
	if (!isOperatorToken(getRequestKey(request) ?? '', context.settings.secrets.operatorToken)) {
		return {status: 401, body: {result: 'refused', detail: 'the operator\'s token is missing or wrong'}};
	}

	const {path, query} = splitUrl(request.url ?? '/');
	const action = findAdminAction(request.method ?? 'GET', path);
	if (!action) {
		return {status: 404, body: {result: 'refused', detail: `there is no action ${request.method} ${path}`}};
	}

	const body = await readAdminBody(request);
	if (body.ok) {
		try {
			return await action.run(context, state, {query, body: body.value});
		} catch (error) {
			context.inputErrors.record('operator-action', error, {action: action.name});
			return {status: 500, body: {result: 'unknown', detail: `the action failed: ${getErrorMessage(error)}`}};
		}
	}

	return body.error === 'cut-off'
		? undefined
		: {status: 413, body: {result: 'refused', detail: `the body is above ${maximumAdminBodyBytes} bytes`}};
}

function isOperatorToken(given: string, expected: string): boolean {
	return timingSafeEqual(Buffer.from(hashText(given)), Buffer.from(hashText(expected)));
}
