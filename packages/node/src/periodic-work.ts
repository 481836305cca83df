/** Repeats work after a pause, one run at a time. The pause may depend on the state after each run. */

export type PeriodicWork = {
	/** Starts the next run at once, or after the current one. */
	runSoon: () => void;
	/** Schedules no further runs and waits for the current one. */
	stop: () => Promise<void>;
};

export function startPeriodicWork(run: () => Promise<void>, pause: number | (() => number)): PeriodicWork {
	const getPauseMilliseconds = typeof pause === 'number' ? () => pause : pause;
	let timer: NodeJS.Timeout | undefined;
	let currentRun: Promise<void> | undefined;
	let isStopped = false;
	let isRunRequested = false;

	const schedule = (delayMilliseconds: number): void => {
		clearTimeout(timer);
		timer = setTimeout(start, delayMilliseconds);
	};

	const start = (): void => {
		currentRun = runOnce();
	};

	const runOnce = async (): Promise<void> => {
		isRunRequested = false;
		await run();
		currentRun = undefined;
		if (!isStopped) {
			schedule(isRunRequested ? 0 : getPauseMilliseconds());
		}
	};

	schedule(getPauseMilliseconds());
	return {
		runSoon() {
			isRunRequested = true;
			if (!currentRun && !isStopped) {
				schedule(0);
			}
		},
		async stop() {
			isStopped = true;
			clearTimeout(timer);
			await currentRun;
		},
	};
}
