/** HTTP server with JSON bodies, shared by all stand-ins. */
import type {AddressInfo} from 'node:net';
import {
	type IncomingMessage, type Server, type ServerResponse, createServer,
} from 'node:http';
import {buffer} from 'node:stream/consumers';
import {type Address, formatAddress} from '@catkindale/common';

export type Standin = {
	/** The base address, for example `http://127.0.0.1:5001`. */
	readonly address: string;
	stop: () => Promise<void>;
};

export type Handler = (request: IncomingMessage, response: ServerResponse, url: URL) => Promise<void>;

/** Serves requests until `stop`. If the handler throws, the connection is closed without a response. */
export async function listen(address: Address, handler: Handler): Promise<Standin> {
	const serve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		try {
			await handler(request, response, new URL(request.url ?? '/', 'http://standin'));
		} catch {
			response.destroy();
		}
	};

	const server = createServer((request, response) => {
		void serve(request, response);
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(address.port, address.host, resolve);
	});
	const {port} = server.address() as AddressInfo;
	return {
		address: `http://${formatAddress({host: address.host, port})}`,
		stop: async () => closeServer(server),
	};
}

export async function readJson(request: IncomingMessage): Promise<unknown> {
	const body = await buffer(request);
	return JSON.parse(body.toString('utf8')) as unknown;
}

export function sendJson(response: ServerResponse, status: number, body: unknown): void {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(JSON.stringify(body));
}

async function closeServer(server: Server): Promise<void> {
	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
		server.closeAllConnections();
	});
}
