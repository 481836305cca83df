/** Stand-in of the platform's object store. */
import {buffer} from 'node:stream/consumers';
import type {Address} from '@catkindale/common';
import {type Standin, listen, sendJson} from './standin.js';

const statusDone = 200;
const statusMissing = 404;

export async function startObjectStoreStandin(address: Address): Promise<Standin> {
	const objects = new Map<string, Uint8Array>();
	return listen(address, async (request, response, url) => {
		if (request.method === 'PUT') {
			objects.set(url.pathname, await buffer(request));
			sendJson(response, statusDone, {});
			return;
		}

		const content = objects.get(url.pathname);
		if (!content) {
			sendJson(response, statusMissing, {reason: 'no such object'});
			return;
		}

		response.writeHead(statusDone, {'content-type': 'application/octet-stream'});
		response.end(content);
	});
}
