/** The lease under which a node uses its allocations. It is checked at each use. */
import type {LeaseClock} from './lease-clock.js';

export type QuotaLease = {
	/** Renews the lease from `renewedAt`, a pause-adjusted time in the past. */
	renew: (renewedAt: number) => void;
	invalidate: () => void;
	isValid: () => boolean;
};

export function createQuotaLease(clock: LeaseClock, leaseMilliseconds: number): QuotaLease {
	let lastRenewedAt = Number.NEGATIVE_INFINITY;
	return {
		renew(renewedAt) {
			lastRenewedAt = Math.max(lastRenewedAt, renewedAt);
		},
		invalidate() {
			lastRenewedAt = Number.NEGATIVE_INFINITY;
		},
		isValid: () => clock.pauseAdjusted() - lastRenewedAt < leaseMilliseconds,
	};
}
