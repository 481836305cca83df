/**
 * The lease under which a node uses its own floors. It is checked against
 * both clocks at every use, so that a paused process or a frozen VM finds its
 * lease over before it does anything else.
 */
import type {Clock} from '@catkindale/common';
import {type ClockReading, isPaused} from '@catkindale/policy';

export type QuotaLease = {
	/** Renews the lease; `confirmedAt` is a monotonic time in the past. */
	confirm: (confirmedAt: number) => void;
	end: () => void;
	isValid: () => boolean;
};

export type LeaseLimits = {
	readonly leaseMilliseconds: number;
	/** How far the clocks may drift apart. */
	readonly pauseLimitMilliseconds: number;
};

export function createQuotaLease(clock: Clock, limits: LeaseLimits): QuotaLease {
	let confirmed: ClockReading | undefined;
	return {
		confirm(confirmedAt) {
			if (confirmed && confirmedAt <= confirmed.monotonic) {
				return;
			}

			const age = clock.monotonic() - confirmedAt;
			confirmed = Number.isFinite(age) ? {monotonic: confirmedAt, wall: clock.wall() - age} : confirmed;
		},
		end() {
			confirmed = undefined;
		},
		isValid() {
			if (!confirmed) {
				return false;
			}

			const monotonic = clock.monotonic();
			if (monotonic - confirmed.monotonic >= limits.leaseMilliseconds) {
				return false;
			}

			return !isPaused({monotonic, wall: confirmed.wall + (monotonic - confirmed.monotonic)}, {monotonic, wall: clock.wall()}, limits.pauseLimitMilliseconds);
		},
	};
}
