/**
 * Compact encoding of the messages that linked nodes exchange continuously: an
 * array with a code and the field values in a fixed order, without field names
 * and with UUIDs as 16 bytes. All other messages are sent unchanged. Each
 * message is self-contained: none refers to an earlier message, which may have
 * been lost.
 */
import {Buffer} from 'node:buffer';
import {type Result, fail, succeed} from '@catkindale/common';

type Fields = Readonly<Record<string, unknown>>;
type Layout = {readonly type: string; readonly names: readonly string[]};

/** The index in the list is the code on the wire, so an index is never reused. */
const layouts: readonly Layout[] = [
	{type: 'heartbeat', names: ['sequence', 'echo', 'configurationVersion', 'tableAgeMilliseconds', 'isEstablished', 'isServing']},
	{type: 'ledger-report', names: ['incarnation', 'epoch', 'version', 'overhang', 'sentAt', 'echoedIncarnation', 'echoedAt']},
];

const identifierPattern = /^[\da-f]{8}-[\da-f]{4}-[\da-f]{4}-[\da-f]{4}-[\da-f]{12}$/v;
const identifierBytes = 16;

/** Returns the compact form of a message, or the message itself if its type has no compact form. */
export function compactMessage(message: Fields): unknown {
	const code = layouts.findIndex(({type}) => type === message.type);
	const layout = layouts[code];
	return layout ? [code, ...layout.names.map(name => compactValue(message[name]))] : message;
}

/** Restores a message from its compact form. Data that isn't an array is returned unchanged. */
export function expandMessage(data: unknown): Result<unknown, string> {
	if (!Array.isArray(data)) {
		return succeed(data);
	}

	const [code, ...values] = data as unknown[];
	const layout = layouts[Number(code)];
	if (layout?.names.length !== values.length) {
		return fail('unknown code or wrong number of fields in a compact message');
	}

	const message: Record<string, unknown> = {type: layout.type};
	for (const [index, name] of layout.names.entries()) {
		const value = expandValue(values[index]);
		if (value !== undefined) {
			message[name] = value;
		}
	}

	return succeed(message);
}

function compactValue(value: unknown): unknown {
	return typeof value === 'string' && identifierPattern.test(value) ? Buffer.from(value.replaceAll('-', ''), 'hex') : value;
}

function expandValue(value: unknown): unknown {
	return value instanceof Uint8Array && value.length === identifierBytes ? formatIdentifier(value) : value;
}

function formatIdentifier(bytes: Uint8Array): string {
	const digits = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length).toString('hex');
	return `${digits.slice(0, 8)}-${digits.slice(8, 12)}-${digits.slice(12, 16)}-${digits.slice(16, 20)}-${digits.slice(20)}`;
}
