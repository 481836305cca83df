/** The lease under which a node uses its own floors, checked at every use. */
import type {LeaseClock} from './lease-clock.js';

export type QuotaLease = {
	/** Renews the lease; `confirmedAt` is an own time in the past. */
	renew: (confirmedAt: number) => void;
	invalidate: () => void;
	isValid: () => boolean;
};

export function createQuotaLease(clock: LeaseClock, leaseMilliseconds: number): QuotaLease {
	let confirmed = Number.NEGATIVE_INFINITY;
	return {
		renew(confirmedAt) {
			confirmed = Math.max(confirmed, confirmedAt);
		},
		invalidate() {
			confirmed = Number.NEGATIVE_INFINITY;
		},
		isValid: () => clock.pauseAdjusted() - confirmed < leaseMilliseconds,
	};
}
