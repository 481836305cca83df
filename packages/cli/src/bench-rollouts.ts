/** Kinds of new versions x deadlines, through the product's decisions and beside baselines. */
import {registerBench} from './bench-registry.js';
import {
	type RolloutMethod, type TrialResult, rolloutMethods, runTrial,
} from './rollout-trials.js';
import {type VersionKind, isGoodKind, versionKinds} from './rollout-versions.js';

type Summary = {
	readonly completed: number;
	readonly takenBack: number;
	readonly late: number;
	readonly harmed: number;
	readonly callersHarmed: number;
	readonly largestShare: number;
	readonly slowestSeconds: number | undefined;
};

const seedCount = 20;
const deadlinesInMinutes = [2, 10, 60];
const harmPart = 1 / 5;
const percent = 100;
const columns = [7, 27, 28, 9, 10, 13, 10, 10, 9, 8, 9];

registerBench({
	name: 'rollouts',
	describe: 'kinds of version x deadlines x 20 seeds in simulated time, beside fixed steps and an error-rate threshold',
	async run({seed, print}) {
		print(formatLine(['minutes', 'version', 'method', 'in time', 'taken back', 'wrong verdict', 'harmed', 'callers', 'largest', 'to zero', 'late']));
		let isOnTarget = true;
		for (const minutes of deadlinesInMinutes) {
			const harmOfMethods: HarmOfMethods = {harmed: new Map(), callersHarmed: new Map()};
			for (const kind of versionKinds) {
				isOnTarget = await runKind({
					kind, minutes, seed, print, harmOfMethods,
				}) && isOnTarget;
			}

			isOnTarget = reportHarm(harmOfMethods, `${minutes} minutes, all kinds`, print) && isOnTarget;
		}

		return isOnTarget;
	},
});

/** The means per rollout, by method: attempts, and callers after retries. */
type HarmOfMethods = Readonly<Record<'harmed' | 'callersHarmed', Map<RolloutMethod, number>>>;

type KindOptions = {
	readonly kind: VersionKind;
	readonly minutes: number;
	readonly seed: number;
	readonly print: (line: string) => void;
	readonly harmOfMethods: HarmOfMethods;
};

async function runKind({kind, minutes, seed, print, harmOfMethods}: KindOptions): Promise<boolean> {
	let isOnTarget = true;
	const harm: HarmOfMethods = {harmed: new Map(), callersHarmed: new Map()};
	for (const method of rolloutMethods) {
		const results: TrialResult[] = [];
		for (let index = 0; index < seedCount; index++) {
			results.push(await runTrial({
				kind, method, minutes, seed: seed + index,
			}));
		}

		const summary = summarize(results);
		const right = isGoodKind(kind) ? summary.completed : summary.takenBack;
		print(formatLine([
			String(minutes),
			kind,
			method,
			String(summary.completed),
			String(summary.takenBack),
			String(seedCount - right),
			summary.harmed.toFixed(1),
			summary.callersHarmed.toFixed(1),
			`${(summary.largestShare * percent).toFixed(1)}%`,
			summary.slowestSeconds?.toFixed(1) ?? '-',
			String(summary.late),
		]));
		if (method === 'catkindale') {
			isOnTarget = right === seedCount && summary.late === 0;
		}

		for (const what of ['harmed', 'callersHarmed'] as const) {
			harm[what].set(method, summary[what]);
			harmOfMethods[what].set(method, (harmOfMethods[what].get(method) ?? 0) + summary[what]);
		}
	}

	return (isGoodKind(kind) || reportHarm(harm, `${minutes} minutes, ${kind}`, print)) && isOnTarget;
}

/** Harmed is a mean per rollout, the largest share and the time to zero the worst of the seeds. */
function summarize(results: readonly TrialResult[]): Summary {
	const seconds = results.flatMap(result => result.secondsToZero ?? []);
	return {
		completed: results.filter(result => result.end === 'done' && result.isInTime).length,
		takenBack: results.filter(result => result.end === 'reverted').length,
		late: results.filter(result => !result.isInTime).length,
		harmed: getMean(results.map(result => result.harmed)),
		callersHarmed: getMean(results.map(result => result.callersHarmed)),
		largestShare: Math.max(...results.map(result => result.largestShare)),
		slowestSeconds: seconds.length > 0 ? Math.max(...seconds) : undefined,
	};
}

function getMean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Prints the harm beside the better baseline's; false if attempts or callers are above the target. */
function reportHarm({harmed, callersHarmed}: HarmOfMethods, what: string, print: (line: string) => void): boolean {
	const areAttemptsOnTarget = reportPart(harmed, `${what}: attempts harmed`, print);
	return reportPart(callersHarmed, `${what}: callers harmed`, print) && areAttemptsOnTarget;
}

function reportPart(harmedOfMethods: ReadonlyMap<RolloutMethod, number>, what: string, print: (line: string) => void): boolean {
	const [own = 0, ...baselines] = rolloutMethods.map(method => harmedOfMethods.get(method) ?? 0);
	const better = Math.min(...baselines);
	const isOnTarget = own <= better * harmPart;
	const part = better > 0 ? (own / better).toFixed(3) : '-';
	print(`${what} ${own.toFixed(2)}, better baseline ${better.toFixed(2)}, part ${part}, target ${harmPart} ${isOnTarget ? 'met' : 'MISSED'}`);
	return isOnTarget;
}

function formatLine(cells: readonly string[]): string {
	return cells.map((cell, index) => index >= 1 && index <= 2 ? cell.padEnd(columns[index] ?? 0) : cell.padStart(columns[index] ?? 0)).join(' ');
}
