/** Stand-in for the platform's object store, which keeps the objects in memory. */
import {buffer} from 'node:stream/consumers';
import type {Address} from '@catkindale/common';
import {type Standin, listen, sendJson} from './standin.js';

const statusOk = 200;
const statusNotFound = 404;

export async function startObjectStoreStandin(address: Address): Promise<Standin> {
	const objects = new Map<string, Uint8Array>();
	return listen(address, async (request, response, url) => {
		if (request.method === 'PUT') {
			objects.set(url.pathname, await buffer(request));
			sendJson(response, statusOk, {});
			return;
		}

		const content = objects.get(url.pathname);
		if (!content) {
			sendJson(response, statusNotFound, {reason: 'no such object'});
			return;
		}

		response.writeHead(statusOk, {'content-type': 'application/octet-stream'});
		response.end(content);
	});
}
