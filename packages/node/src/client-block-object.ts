/** Client blocks as an object of the object store: a snapshot in CBOR, named after its content. */
import {createHash} from 'node:crypto';
import {decode, encode} from 'cbor-x';
import {type Result, fail, getErrorMessage} from '@catkindale/common';
import {type ClientBlockTable, createClientBlockSnapshot, parseClientBlockSnapshot} from '@catkindale/policy';

export type ClientBlockObject = {readonly name: string; readonly content: Uint8Array};

const snapshotVersion = 1;
const nameDigits = 16;

/** The same blocks get the same name, others another one, so that an object never changes under its name. */
export function encodeClientBlocks(table: ClientBlockTable): ClientBlockObject {
	const content = encode(createClientBlockSnapshot(table, snapshotVersion));
	const digest = createHash('sha256').update(content).digest('hex');
	return {name: `client-blocks-${digest.slice(0, nameDigits)}`, content};
}

/** Reads untrusted content; a generator that pauses often enough for look-ups to go on. */
export function * decodeClientBlocks(content: Uint8Array): Generator<void, Result<ClientBlockTable, string>> {
	let data: unknown;
	try {
		data = decode(content);
	} catch (error) {
		return fail(getErrorMessage(error));
	}

	yield;
	return yield * parseClientBlockSnapshot(data);
}
