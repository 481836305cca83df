/** Port to the health that targets report about themselves, which lags and may be wrong. */

/** Health as reported by the target itself. */
export type ReportedHealth = {
	readonly isHealthy: boolean;
	/** Load relative to capacity; 1 means that all slots are in use. */
	readonly load: number;
};

export type TargetHealthOutcome
	= | {readonly kind: 'done'; readonly health: ReportedHealth}
		| {readonly kind: 'not-done'; readonly reason: string};

export type TargetHealthReader = {
	/** Reads the health of the target at an address of the form `10.0.0.1:80`. */
	read: (targetAddress: string) => Promise<TargetHealthOutcome>;
	close: () => Promise<void>;
};
