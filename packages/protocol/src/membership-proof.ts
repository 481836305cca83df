/** The proof that a peer knows the fleet's secret: HMAC-SHA-256 over identity and nonces. */
import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';

export type ProofInput = {
	readonly secret: string;
	/** Who proves. */
	readonly id: string;
	readonly incarnation: string;
	readonly ownNonce: string;
	readonly peerNonce: string;
};

export function createProofCode(input: ProofInput): string {
	const parts = [input.id, input.incarnation, input.ownNonce, input.peerNonce];
	return createHmac('sha256', input.secret).update(JSON.stringify(parts)).digest('hex');
}

/** Compares in constant time. */
export function isProofCode(code: string, input: ProofInput): boolean {
	const expected = Buffer.from(createProofCode(input));
	const actual = Buffer.from(code);
	return actual.length === expected.length && timingSafeEqual(actual, expected);
}
