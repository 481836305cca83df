/** The lease under which a node uses its own floors, checked at every use. */
import type {LeaseClock} from './lease-clock.js';

export type QuotaLease = {
	/** Renews the lease; `confirmedAt` is an own time in the past. */
	confirm: (confirmedAt: number) => void;
	end: () => void;
	isValid: () => boolean;
};

export function createQuotaLease(clock: LeaseClock, leaseMilliseconds: number): QuotaLease {
	let confirmed = Number.NEGATIVE_INFINITY;
	return {
		confirm(confirmedAt) {
			confirmed = Math.max(confirmed, confirmedAt);
		},
		end() {
			confirmed = Number.NEGATIVE_INFINITY;
		},
		isValid: () => clock.own() - confirmed < leaseMilliseconds,
	};
}
