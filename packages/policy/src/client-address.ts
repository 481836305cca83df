/** Parses client addresses and prefixes to words. IPv4-mapped IPv6 addresses count as IPv4. */
import ipaddr from 'ipaddr.js';
import {
	type Result, fail, getErrorMessage, succeed,
} from '@catkindale/common';
import {type AddressWords, getFirstAddress} from './address-columns.js';
import {parseIpv4Word, parseIpv6Words} from './address-text.js';

export type AddressFamily = 'ipv4' | 'ipv6';

export type ClientAddress = {readonly family: AddressFamily; readonly words: AddressWords};

export type ClientPrefix = ClientAddress & {
	/** Number of leading bits that all addresses of the prefix have in common. */
	readonly length: number;
};

const mappedIpv4Word = 0xFF_FF;

/** Undefined if the text isn't an address. */
export function parseClientAddress(text: string): ClientAddress | undefined {
	const word = parseIpv4Word(text);
	if (word !== undefined) {
		return {family: 'ipv4', words: [word]};
	}

	const words = parseIpv6Words(text);
	if (words && !isMappedIpv4(words)) {
		return {family: 'ipv6', words};
	}

	return ipaddr.isValid(text) ? toClientAddress(ipaddr.process(text)) : undefined;
}

/** Parses `10.1.0.0/16` or `2001:db8::/32`; host bits are cleared. */
export function parseClientPrefix(text: string): Result<ClientPrefix, string> {
	try {
		const [address, length] = ipaddr.parseCIDR(text);
		const {family, words} = toClientAddress(address);
		return succeed({family, words: getFirstAddress(words, length), length});
	} catch (error) {
		return fail(`"${text}" is not an address prefix: ${getErrorMessage(error)}`);
	}
}

/** Whether the address is IPv4-mapped, in `::ffff:0:0/96`. */
function isMappedIpv4(words: AddressWords): boolean {
	return words[0] === 0 && words[1] === 0 && words[2] === mappedIpv4Word;
}

function toClientAddress(address: ipaddr.IPv4 | ipaddr.IPv6): ClientAddress {
	const bytes = address.toByteArray();
	const words: number[] = [];
	for (let index = 0; index < bytes.length; index += 4) {
		const [first = 0, second = 0, third = 0, fourth = 0] = bytes.slice(index, index + 4);
		words.push(((first << 24) | (second << 16) | (third << 8) | fourth) >>> 0);
	}

	return {family: address.kind(), words};
}
