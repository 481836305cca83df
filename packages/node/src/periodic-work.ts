/** Work that repeats after a pause, one run at a time, owned by one task. */

export type PeriodicWork = {
	/** Starts the next run at once, or after the one that is under way. */
	runSoon: () => void;
	/** Waits for the run that is under way. */
	stop: () => Promise<void>;
};

export function startPeriodicWork(run: () => Promise<void>, pauseMilliseconds: number): PeriodicWork {
	let timer: NodeJS.Timeout | undefined;
	let underWay: Promise<void> | undefined;
	let isStopped = false;
	let isWanted = false;

	const schedule = (delayMilliseconds: number): void => {
		clearTimeout(timer);
		timer = setTimeout(start, delayMilliseconds);
	};

	const start = (): void => {
		underWay = runOnce();
	};

	const runOnce = async (): Promise<void> => {
		isWanted = false;
		await run();
		underWay = undefined;
		if (!isStopped) {
			schedule(isWanted ? 0 : pauseMilliseconds);
		}
	};

	schedule(pauseMilliseconds);
	return {
		runSoon() {
			isWanted = true;
			if (!underWay && !isStopped) {
				schedule(0);
			}
		},
		async stop() {
			isStopped = true;
			clearTimeout(timer);
			await underWay;
		},
	};
}
