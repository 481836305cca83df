/** Serves `/metrics`, `/healthz` and `/readyz`. */
import {type ServerResponse, createServer} from 'node:http';
import {gatewayRole, roles} from './constants.js';
import {trackConnections} from './http-connections.js';
import {closeGracefully, listenOn} from './http-server.js';
import {type NodeContext, nodePlugins} from './node-context.js';

const startOrder = 5;
const statusReady = 200;
const statusNotReady = 503;
const statusNotFound = 404;

nodePlugins.register({
	name: 'metrics',
	roles: [...roles, gatewayRole],
	order: startOrder,
	async start(context) {
		let isReady = false;
		const subscriptions = [
			context.bus.subscribe('configuration-changed', () => {
				isReady = true;
			}),
			context.bus.subscribe('traffic-configuration-changed', () => {
				isReady = true;
			}),
			context.bus.subscribe('drain-started', () => {
				isReady = false;
			}),
		];
		const server = createServer((request, response) => {
			void serveRequest(context, request.url ?? '/', isReady, response);
		});
		const connections = trackConnections(server);
		context.boundAddresses.metrics = await listenOn(server, context.settings.listen.metrics);
		return {
			async stop() {
				for (const unsubscribe of subscriptions) {
					unsubscribe();
				}

				await closeGracefully(server, connections);
			},
		};
	},
});

async function serveRequest(context: NodeContext, path: string, isReady: boolean, response: ServerResponse): Promise<void> {
	switch (path) {
		case '/metrics': {
			response.setHeader('content-type', context.metrics.contentType);
			response.end(await context.metrics.metrics());
			return;
		}

		case '/healthz': {
			response.end('ok\n');
			return;
		}

		case '/readyz': {
			response.statusCode = isReady ? statusReady : statusNotReady;
			response.end(isReady ? 'ready\n' : 'not ready\n');
			return;
		}

		default: {
			response.statusCode = statusNotFound;
			response.end('not found\n');
		}
	}
}
