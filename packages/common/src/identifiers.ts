/** Identifiers that are unique without asking anyone, and hashes of secrets. */
import {createHash, randomUUID} from 'node:crypto';

/** A fresh identifier of a request, an incarnation or a change. */
export function createIdentifier(): string {
	return randomUUID();
}

/** The SHA-256 of a text in hexadecimal, the only form in which keys are kept. */
export function hashText(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}
