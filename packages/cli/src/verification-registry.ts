/** Registry of the randomised verifications of `catkindale verify`; each module registers its own. */

export type Verification = {
	readonly name: string;
	readonly describe: string;
	/** Runs once; throws an InvariantError when an invariant is broken. The same seed gives the same run. */
	readonly run: (seed: number) => void | Promise<void>;
};

const verifications = new Map<string, Verification>();

export function registerVerification(verification: Verification): void {
	verifications.set(verification.name, verification);
}

export function getVerifications(): Verification[] {
	return [...verifications.values()];
}
