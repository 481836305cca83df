/** Random identifiers, unique without coordination between nodes, and hashes of secrets. */
import {createHash, randomUUID} from 'node:crypto';

/** Creates an identifier for a request, an incarnation or a change. */
export function createIdentifier(): string {
	return randomUUID();
}

/** Returns the SHA-256 hash of a text in hexadecimal. API keys are stored only in this form. */
export function hashText(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}
