/**
 * The short form of the messages that every pair of linked nodes exchanges
 * all the time: an array of a code and the fields in a fixed order, so that
 * names aren't sent again, and identifiers as the 16 bytes that they stand
 * for. All other messages travel as they are. Each message is whole in itself:
 * no short form refers to an earlier one, which may have been lost.
 */
import {Buffer} from 'node:buffer';
import {type Result, fail, succeed} from '@catkindale/common';

type Fields = Readonly<Record<string, unknown>>;
type Layout = {readonly type: string; readonly names: readonly string[]};

/** A message's place in the list is its code; places are never given anew. */
const layouts: readonly Layout[] = [
	{type: 'heartbeat', names: ['sequence', 'echo', 'configurationVersion', 'tableAgeMilliseconds', 'isEstablished', 'isServing']},
	{type: 'ledger-report', names: ['incarnation', 'epoch', 'version', 'overhang', 'sentAt', 'echoedIncarnation', 'echoedAt']},
];

const identifierPattern = /^[\da-f]{8}-[\da-f]{4}-[\da-f]{4}-[\da-f]{4}-[\da-f]{12}$/v;
const identifierBytes = 16;

/** The short form of a message that has one; any other message as it is. */
export function compactMessage(message: Fields): unknown {
	const code = layouts.findIndex(({type}) => type === message.type);
	const layout = layouts[code];
	return layout ? [code, ...layout.names.map(name => compactValue(message[name]))] : message;
}

/** The message of a short form; what isn't an array is a message already. */
export function expandMessage(data: unknown): Result<unknown, string> {
	if (!Array.isArray(data)) {
		return succeed(data);
	}

	const [code, ...values] = data as unknown[];
	const layout = layouts[Number(code)];
	if (layout?.names.length !== values.length) {
		return fail('a short form that this version doesn\'t know');
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
