/** Port to the platform's list of VMs, which lags behind their actual state. */

export type ListedMachine = {
	/** Identifier of a node or name of a target. */
	readonly id: string;
	readonly state: 'live' | 'leaving';
};

export type MachineListOutcome
	= | {readonly kind: 'done'; readonly machines: readonly ListedMachine[]}
		| {readonly kind: 'not-done'; readonly reason: string};

export type MachineList = {
	list: () => Promise<MachineListOutcome>;
	close: () => Promise<void>;
};
