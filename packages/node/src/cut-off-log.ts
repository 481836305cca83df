/** Logs the requests that the end of a planned stop cuts off: a line for each, up to a maximum, and their number. */
import type {ServerResponse} from 'node:http';
import type {NodeContext} from './node-context.js';

const maximumLines = 20;

/** Returns a function that is called once for each request, all in one turn of the event loop. */
export function createCutOffLog({logger, profile}: Pick<NodeContext, 'logger' | 'profile'>): (response: ServerResponse) => void {
	let count = 0;
	return response => {
		count += 1;
		if (count === 1) {
			setImmediate(() => {
				logger.warn('requests_cut_off', {count});
			});
		}

		if (count <= maximumLines) {
			logger.warn('request_cut_off', {
				request: String(response.req.headers[profile.headers.requestId] ?? 'none'),
				reason: 'grace-time-over',
				response: response.headersSent ? 'begun' : 'none',
			});
		}
	};
}
