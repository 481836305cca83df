/** Registry of the benches that `catkindale bench` can run; each bench module registers its own. */

export type BenchOptions = {
	readonly seed: number;
	readonly seconds: number;
	/** File for the plot, for benches that draw one. */
	readonly output: string | undefined;
	readonly print: (line: string) => void;
};

export type Bench = {
	readonly name: string;
	readonly describe: string;
	/** Prints a report in plain text; resolves with false if a stated target was missed. */
	readonly run: (options: BenchOptions) => Promise<boolean>;
};

const benches = new Map<string, Bench>();

export function registerBench(bench: Bench): void {
	benches.set(bench.name, bench);
}

export function getBenches(): Bench[] {
	return [...benches.values()];
}
