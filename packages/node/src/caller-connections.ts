/** Which requests share a caller's connection: a caller may send further requests before the first one is answered. */
import type {ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';

/** The latest response on each connection. */
const latestResponses = new WeakMap<Duplex, ServerResponse>();

export function recordResponse(socket: Duplex, response: ServerResponse): void {
	latestResponses.set(socket, response);
}

/** Returns the response to the latest request of the connection; undefined if none was read yet. */
export function getLatestResponse(socket: Duplex): ServerResponse | undefined {
	return latestResponses.get(socket);
}

/** Whether other requests of the caller wait behind this one, and would be lost with their connection. */
export function hasRequestBehind(response: ServerResponse): boolean {
	const latest = latestResponses.get(response.req.socket);
	return latest !== undefined && latest !== response;
}
