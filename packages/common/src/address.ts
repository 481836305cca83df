/** Network addresses: an IP address and a port. Host names are rejected because nothing here resolves them. */
import {isIP} from 'node:net';
import {type Result, fail, succeed} from './outcome.js';

export type Address = {readonly host: string; readonly port: number};

const maximumPort = 65_535;
const portPattern = /^\d{1,5}$/v;

/** Parses `10.0.0.1:80` or `[::1]:80`. The error is a message that quotes the text. */
export function parseAddress(text: string): Result<Address, string> {
	const separator = text.lastIndexOf(':');
	const host = text.slice(0, Math.max(0, separator)).replace(/^\[(.*)\]$/v, '$1');
	const portText = text.slice(separator + 1);
	const port = Number(portText);
	// An IPv6 address with a zone can't be part of a URL.
	if (isIP(host) === 0 || host.includes('%')) {
		return fail(`"${text}" has no IP address before the port; write 10.0.0.1:80 or [::1]:80`);
	}

	if (!portPattern.test(portText) || port > maximumPort) {
		return fail(`"${text}" has no port between 0 and ${maximumPort}`);
	}

	return succeed({host, port});
}

/** Formats an address for a URL or a setting; an IPv6 address gets brackets. */
export function formatAddress(address: Address): string {
	return isIP(address.host) === 6 ? `[${address.host}]:${address.port}` : `${address.host}:${address.port}`;
}
