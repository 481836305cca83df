/** Addresses: an IP number and a port. Names are never resolved. */
import {isIP} from 'node:net';
import {type Result, fail, succeed} from './outcome.js';

export type Address = {readonly host: string; readonly port: number};

const maximumPort = 65_535;

/** Parses `10.0.0.1:80` or `[::1]:80`. */
export function parseAddress(text: string): Result<Address, string> {
	const separator = text.lastIndexOf(':');
	const host = text.slice(0, Math.max(0, separator)).replace(/^\[(.*)\]$/v, '$1');
	const port = Number(text.slice(separator + 1));
	if (isIP(host) === 0) {
		return fail(`"${text}" has no IP number before the port; write 10.0.0.1:80 or [::1]:80`);
	}

	if (!Number.isInteger(port) || port < 0 || port > maximumPort) {
		return fail(`"${text}" has no port between 0 and ${maximumPort}`);
	}

	return succeed({host, port});
}

export function formatAddress(address: Address): string {
	return isIP(address.host) === 6 ? `[${address.host}]:${address.port}` : `${address.host}:${address.port}`;
}
