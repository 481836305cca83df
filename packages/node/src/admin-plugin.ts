/** Serves operators over HTTP. Every request needs the operator's token. */
import {Buffer} from 'node:buffer';
import {timingSafeEqual} from 'node:crypto';
import {type IncomingMessage, type ServerResponse, createServer} from 'node:http';
import {text} from 'node:stream/consumers';
import {hashText} from '@catkindale/common';
import {type AdminAnswer, findAdminAction} from './admin-actions.js';
import {type AdminState, createAdminState} from './admin-state.js';
import {closeGracefully, listenOn} from './http-server.js';
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

nodePlugins.register({
	name: 'admin',
	roles: ['admin'],
	order: startOrder,
	async start(context) {
		const state = createAdminState();
		const endings = [
			context.bus.subscribe('configuration-changed', message => {
				state.configuration = message;
			}),
			context.bus.subscribe('configuration-known', ({record}) => {
				state.record = record;
			}),
			context.bus.subscribe('restrictions-changed', message => {
				state.restrictions = message.restrictions;
			}),
			context.bus.subscribe('unavailable-members-changed', message => {
				state.unavailable = message.ids;
			}),
			context.bus.subscribe('members-heard', message => {
				state.members = message.members;
			}),
			context.bus.subscribe('membership-changed', message => {
				state.members = message.members;
			}),
			context.bus.subscribe('machines-listed', ({machines}) => {
				state.listedCount = machines.filter(machine => machine.state === 'live').length;
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
		context.bound.admin = await listenOn(server, context.settings.listen.admin);
		return {
			async stop() {
				for (const end of endings) {
					end();
				}

				await closeGracefully(server);
			},
		};
	},
});

async function serve(context: NodeContext, state: AdminState, request: IncomingMessage, response: ServerResponse): Promise<void> {
	const answer = await getAnswer(context, state, request);
	response.writeHead(answer.status, {'content-type': 'application/json'});
	response.end(JSON.stringify(answer.body));
}

async function getAnswer(context: NodeContext, state: AdminState, request: IncomingMessage): Promise<AdminAnswer> {
	const url = new URL(request.url ?? '/', 'http://admin');
	if (!isOperatorToken(getRequestKey(request) ?? '', context.settings.secrets.operatorToken)) {
		return {status: 401, body: {result: 'refused', detail: 'the operator\'s token is missing or wrong'}};
	}

	const action = findAdminAction(request.method ?? 'GET', url.pathname);
	if (!action) {
		return {status: 404, body: {result: 'refused', detail: `there is no action ${request.method} ${url.pathname}`}};
	}

	return action.run(context, state, {query: url.searchParams, body: await text(request)});
}

function isOperatorToken(given: string, expected: string): boolean {
	return timingSafeEqual(Buffer.from(hashText(given)), Buffer.from(hashText(expected)));
}
