/**
 * Serves the port for callers. The directory handles `/v1/entries`; every
 * other request goes to the entry.
 */
import {createCallerServer} from './caller-server.js';
import {createCutOffLog} from './cut-off-log.js';
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
		const callerServer = createCallerServer(limits, (request, response) => {
			getHandler(context, request.url ?? '/')(request, response);
		});
		context.boundAddresses.caller = await listenOn(callerServer.server, listen.caller);
		// Callers with an older lookup are still served during the drain; each response closes its connection.
		const unsubscribe = context.bus.subscribe('drain-started', () => {
			callerServer.startDraining();
		});
		return {
			drain: async () => callerServer.drain({graceMilliseconds: timing.graceMilliseconds, onCutOff: createCutOffLog(context)}),
			async stop() {
				unsubscribe();
				callerServer.close();
			},
		};
	},
});

function getHandler(context: NodeContext, url: string): CallerHandler {
	const path = url.split('?', 1)[0];
	const handler = path === directoryPath ? context.callerHandlers.directory : context.callerHandlers.entry;
	return handler ?? refuseUnservedPath;
}

const refuseUnservedPath: CallerHandler = (_request, response) => {
	sendProblem(response, {
		status: 404, outcome: 'not-run', reason: 'role-off', detail: 'this VM doesn\'t serve that path',
	});
};
