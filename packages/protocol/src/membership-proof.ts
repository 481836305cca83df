/** Proof that a peer holds the fleet's secret: HMAC-SHA-256 over its identity and both nonces. */
import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';

export type ProofInput = {
	readonly secret: string;
	/** Identifier of the node that creates the proof. */
	readonly id: string;
	readonly incarnation: string;
	readonly ownNonce: string;
	readonly peerNonce: string;
};

/** Returns the HMAC in hexadecimal. */
export function createProofCode(input: ProofInput): string {
	const parts = [input.id, input.incarnation, input.ownNonce, input.peerNonce];
	return createHmac('sha256', input.secret).update(JSON.stringify(parts)).digest('hex');
}

/** Verifies a proof; the comparison takes constant time. */
export function isValidProofCode(code: string, input: ProofInput): boolean {
	const expected = Buffer.from(createProofCode(input));
	const actual = Buffer.from(code);
	return actual.length === expected.length && timingSafeEqual(actual, expected);
}
