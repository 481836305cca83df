/**
 * `catkindale bench load-simulated`: fairness, throughput and target choice in
 * simulated time. The baselines are a first-come queue, random choice, and the
 * choice of the target with the most free slots.
 */
import {writeFile} from 'node:fs/promises';
import {millisecondsPerSecond} from '@catkindale/common';
import {type Bar, type BarChart, drawCharts} from './bench-plot.js';
import {type BenchOptions, registerBench} from './bench-registry.js';
import {type SteeringKind, steeringKinds} from './bench-load-baselines.js';
import {measureFlood, measureThroughput, measureWeights} from './bench-load-fairness.js';
import {measureFaults} from './bench-load-faults.js';
import {type DeploymentShape, deploymentShapes} from './bench-load-shapes.js';

export type LoadReport = {
	readonly options: BenchOptions;
	readonly shape: DeploymentShape;
	readonly charts: BarChart[];
	/** Prints and records whether a stated target was met. */
	readonly recordTarget: (isMet: boolean, target: string) => void;
};

registerBench({
	name: 'load-simulated',
	describe: 'fairness, throughput and target choice in simulated time, compared with baselines',
	async run(options) {
		const missedTargets: string[] = [];
		const charts: BarChart[] = [];
		for (const shape of deploymentShapes) {
			const targetText = `${shape.slots.length} targets with ${shape.slots.join('+')} slots`;
			const distributions = `Poisson arrivals, exponential service times with a mean of ${shape.serviceMilliseconds} ms`;
			options.print(`== ${shape.name}: ${targetText}, ${distributions}, ${getSimulatedSeconds(options)} simulated seconds`);
			const report: LoadReport = {
				options,
				shape,
				charts,
				recordTarget(isMet, target) {
					options.print(`  ${isMet ? 'met' : 'MISSED'}: ${target}`);
					missedTargets.push(...isMet ? [] : [target]);
				},
			};
			measureFlood(report);
			measureThroughput(report);
			measureWeights(report);
			measureFaults(report);
		}

		if (options.output !== undefined) {
			await writeFile(options.output, drawCharts('catkindale: load in simulated time', charts));
			options.print(`plot written to ${options.output}`);
		}

		return missedTargets.length === 0;
	},
});

const simulatedSecondsPerSecond = 20;

export function getSimulatedSeconds(options: BenchOptions): number {
	return options.seconds * simulatedSecondsPerSecond;
}

export function createBars(values: ReadonlyMap<SteeringKind, number>): Bar[] {
	return steeringKinds.filter(kind => values.has(kind)).map(kind => ({label: kind, value: values.get(kind) ?? 0}));
}

export function formatMilliseconds(microseconds: number): string {
	return (microseconds / millisecondsPerSecond).toFixed(1);
}
