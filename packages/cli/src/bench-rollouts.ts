/** Simulated rollouts of each kind of new version with several deadlines, by the product and by baselines. */
import {registerBench} from './bench-registry.js';
import {
	type RolloutMethod, type TrialResult, rolloutMethods, runTrial,
} from './rollout-trials.js';
import {type VersionKind, isGoodKind, versionKinds} from './rollout-versions.js';

type Summary = {
	readonly completed: number;
	readonly reverted: number;
	readonly late: number;
	readonly harmed: number;
	readonly callersHarmed: number;
	readonly maximumShare: number;
	readonly maximumSecondsToZero: number | undefined;
};

const seedCount = 20;
const deadlinesInMinutes = [2, 10, 60];
const maximumHarmFraction = 1 / 5;
const percent = 100;
const columnWidths = [7, 27, 28, 9, 10, 13, 10, 10, 9, 8, 9];

registerBench({
	name: 'rollouts',
	describe: 'kinds of version x deadlines x 20 seeds in simulated time, compared with fixed steps and an error-rate threshold',
	async run({seed, print}) {
		print(formatLine(['minutes', 'version', 'method', 'in time', 'reverted', 'wrong result', 'harmed', 'callers', 'max share', 'to zero', 'late']));
		let isOnTarget = true;
		for (const minutes of deadlinesInMinutes) {
			const harmByMethod: HarmByMethod = {harmed: new Map(), callersHarmed: new Map()};
			for (const kind of versionKinds) {
				isOnTarget = await runKind({
					kind, minutes, seed, print, harmByMethod,
				}) && isOnTarget;
			}

			isOnTarget = reportHarm(harmByMethod, `${minutes} minutes, all kinds`, print) && isOnTarget;
		}

		return isOnTarget;
	},
});

/** Mean number of harmed attempts, and of callers still harmed after retries, per rollout by method. */
type HarmByMethod = Readonly<Record<'harmed' | 'callersHarmed', Map<RolloutMethod, number>>>;

type KindOptions = {
	readonly kind: VersionKind;
	readonly minutes: number;
	readonly seed: number;
	readonly print: (line: string) => void;
	readonly harmByMethod: HarmByMethod;
};

async function runKind({kind, minutes, seed, print, harmByMethod}: KindOptions): Promise<boolean> {
	let isOnTarget = true;
	const harmOfKind: HarmByMethod = {harmed: new Map(), callersHarmed: new Map()};
	for (const method of rolloutMethods) {
		const results: TrialResult[] = [];
		for (let index = 0; index < seedCount; index++) {
			results.push(await runTrial({
				kind, method, minutes, seed: seed + index,
			}));
		}

		const summary = summarize(results);
		const correctCount = isGoodKind(kind) ? summary.completed : summary.reverted;
		print(formatLine([
			String(minutes),
			kind,
			method,
			String(summary.completed),
			String(summary.reverted),
			String(seedCount - correctCount),
			summary.harmed.toFixed(1),
			summary.callersHarmed.toFixed(1),
			`${(summary.maximumShare * percent).toFixed(1)}%`,
			summary.maximumSecondsToZero?.toFixed(1) ?? '-',
			String(summary.late),
		]));
		if (method === 'catkindale') {
			isOnTarget = correctCount === seedCount && summary.late === 0;
		}

		for (const measure of ['harmed', 'callersHarmed'] as const) {
			harmOfKind[measure].set(method, summary[measure]);
			harmByMethod[measure].set(method, (harmByMethod[measure].get(method) ?? 0) + summary[measure]);
		}
	}

	return (isGoodKind(kind) || reportHarm(harmOfKind, `${minutes} minutes, ${kind}`, print)) && isOnTarget;
}

/** Harmed attempts and callers are means per rollout; the maximum share and the time to zero are the worst of all seeds. */
function summarize(results: readonly TrialResult[]): Summary {
	const secondsToZero = results.flatMap(result => result.secondsToZero ?? []);
	return {
		completed: results.filter(result => result.end === 'done' && result.isInTime).length,
		reverted: results.filter(result => result.end === 'reverted').length,
		late: results.filter(result => !result.isInTime).length,
		harmed: getMean(results.map(result => result.harmed)),
		callersHarmed: getMean(results.map(result => result.callersHarmed)),
		maximumShare: Math.max(...results.map(result => result.maximumShare)),
		maximumSecondsToZero: secondsToZero.length > 0 ? Math.max(...secondsToZero) : undefined,
	};
}

function getMean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Prints the harm of the product and of the better baseline. Returns false if harmed attempts or harmed callers exceed the target. */
function reportHarm({harmed, callersHarmed}: HarmByMethod, title: string, print: (line: string) => void): boolean {
	const isAttemptHarmOnTarget = reportHarmFraction(harmed, `${title}: attempts harmed`, print);
	return reportHarmFraction(callersHarmed, `${title}: callers harmed`, print) && isAttemptHarmOnTarget;
}

function reportHarmFraction(meanByMethod: ReadonlyMap<RolloutMethod, number>, title: string, print: (line: string) => void): boolean {
	const [productMean = 0, ...baselineMeans] = rolloutMethods.map(method => meanByMethod.get(method) ?? 0);
	const bestBaselineMean = Math.min(...baselineMeans);
	const isOnTarget = productMean <= bestBaselineMean * maximumHarmFraction;
	const harmFraction = bestBaselineMean > 0 ? (productMean / bestBaselineMean).toFixed(3) : '-';
	print(`${title} ${productMean.toFixed(2)}, better baseline ${bestBaselineMean.toFixed(2)}, fraction ${harmFraction}, target at most ${maximumHarmFraction} ${isOnTarget ? 'met' : 'MISSED'}`);
	return isOnTarget;
}

function formatLine(cells: readonly string[]): string {
	return cells.map((cell, index) => index >= 1 && index <= 2 ? cell.padEnd(columnWidths[index] ?? 0) : cell.padStart(columnWidths[index] ?? 0)).join(' ');
}
