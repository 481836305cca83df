/** The port to what targets tell of their own health, which lags and may mislead. */

/** What a target says of itself. */
export type ReportedHealth = {
	readonly isHealthy: boolean;
	/** 1 means that all its slots are in use. */
	readonly load: number;
};

export type TargetHealthOutcome
	= | {readonly kind: 'done'; readonly health: ReportedHealth}
		| {readonly kind: 'not-done'; readonly reason: string};

export type TargetHealthReader = {
	/** Asks the target at the IP number and port. */
	read: (targetAddress: string) => Promise<TargetHealthOutcome>;
	close: () => Promise<void>;
};
