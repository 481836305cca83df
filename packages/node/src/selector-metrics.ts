/** Metrics of the selection of targets: queue times, refusals and slots. */
import {
	Counter, Gauge, Histogram, type Registry,
} from 'prom-client';
import {millisecondsPerSecond} from '@catkindale/common';
import type {RequestClass} from '@catkindale/policy';

export type TargetPoolState = {
	readonly service: string;
	readonly version: string;
	readonly waitingRequests: number;
	readonly held: number;
	readonly usable: number;
	readonly inUse: number;
	readonly cutOffTargets: number;
};

export type SelectorMetrics = {
	readonly observeWait: (customer: string, requestClass: RequestClass, milliseconds: number) => void;
	readonly countRefusal: (customer: string, requestClass: RequestClass, reason: string) => void;
};

const waitBucketsSeconds = [0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10];
const poolLabels = ['service', 'version'] as const;
const slotStates = ['held', 'usable', 'inUse'] as const;

/** Registers the metrics; `getPoolStates` is called at each scrape. */
export function createSelectorMetrics(registry: Registry, getPoolStates: () => readonly TargetPoolState[]): SelectorMetrics {
	const registers = [registry];
	const wait = new Histogram({
		name: 'catkindale_queue_seconds',
		help: 'Time that a request waited for a slot of a target',
		labelNames: ['customer', 'class'],
		buckets: waitBucketsSeconds,
		registers,
	});
	const refusals = new Counter({
		name: 'catkindale_queue_refusals_total',
		help: 'Requests refused because no slot of a target could be had in time',
		labelNames: ['customer', 'class', 'reason'],
		registers,
	});
	registerSlots(registry, getPoolStates);
	registerPoolGauge(registry, {name: 'catkindale_queue_length', help: 'Requests that wait for a slot', read: pool => pool.waitingRequests}, getPoolStates);
	registerPoolGauge(registry, {name: 'catkindale_targets_cut_off', help: 'Targets that get no work but probes after failures', read: pool => pool.cutOffTargets}, getPoolStates);
	return {
		observeWait(customer, requestClass, milliseconds) {
			wait.observe({customer, class: requestClass}, milliseconds / millisecondsPerSecond);
		},
		countRefusal(customer, requestClass, reason) {
			refusals.inc({customer, class: requestClass, reason});
		},
	};
}

function registerSlots(registry: Registry, getPoolStates: () => readonly TargetPoolState[]): void {
	const gauge = new Gauge({
		name: 'catkindale_target_slots',
		help: 'Slots at the targets of a service that this node holds, may use now, and uses',
		labelNames: [...poolLabels, 'state'],
		registers: [registry],
		collect() {
			gauge.reset();
			for (const pool of getPoolStates()) {
				for (const state of slotStates) {
					gauge.set({service: pool.service, version: pool.version, state: state === 'inUse' ? 'in_use' : state}, pool[state]);
				}
			}
		},
	});
}

type PoolGauge = {readonly name: string; readonly help: string; readonly read: (pool: TargetPoolState) => number};

function registerPoolGauge(registry: Registry, {name, help, read}: PoolGauge, getPoolStates: () => readonly TargetPoolState[]): void {
	const gauge = new Gauge({
		name,
		help,
		labelNames: poolLabels,
		registers: [registry],
		collect() {
			gauge.reset();
			for (const pool of getPoolStates()) {
				gauge.set({service: pool.service, version: pool.version}, read(pool));
			}
		},
	});
}
