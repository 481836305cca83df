/**
 * Owns the port that callers use. The directory answers `/v1/entries`; every
 * other request goes to the entry.
 */
import {createCallerServer} from './caller-server.js';
import {type CallerHandler, type NodeContext, nodePlugins} from './node-context.js';
import {listenOn} from './http-server.js';
import {sendProblem} from './problem.js';

const startOrder = 30;
const directoryPath = '/v1/entries';

nodePlugins.register({
	name: 'caller-server',
	roles: ['entry', 'directory'],
	order: startOrder,
	async start(context) {
		const {limits, timing, listen} = context.settings;
		const callers = createCallerServer(limits, (request, response) => {
			getHandler(context, request.url ?? '/')(request, response);
		});
		context.boundAddresses.caller = await listenOn(callers.server, listen.caller);
		// Callers that hold an older look-up are served for a while, each answer ending its connection.
		const ending = context.bus.subscribe('drain-started', () => {
			callers.startDraining();
		});
		return {
			drain: async () => callers.drain(timing.graceMilliseconds),
			async stop() {
				ending();
				callers.close();
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
