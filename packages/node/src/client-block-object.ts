/** Encodes client blocks as an object of the object store: a CBOR snapshot that is named after its content. */
import {createHash} from 'node:crypto';
import {decode, encode} from 'cbor-x';
import {type Result, fail, getErrorMessage} from '@catkindale/common';
import {type ClientBlockTable, createClientBlockSnapshot, parseClientBlockSnapshot} from '@catkindale/policy';

export type ClientBlockObject = {readonly name: string; readonly content: Uint8Array};

const snapshotVersion = 1;
const nameDigits = 16;

/** Derives the name from the content: the same blocks get the same name, and the object of a name never changes. */
export function encodeClientBlocks(table: ClientBlockTable): ClientBlockObject {
	const content = encode(createClientBlockSnapshot(table, snapshotVersion));
	const digest = createHash('sha256').update(content).digest('hex');
	return {name: `client-blocks-${digest.slice(0, nameDigits)}`, content};
}

/** Decodes untrusted content. The generator yields often enough for lookups to be served in between. */
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
