/** Metrics of the links between regions: bytes transferred, this node's quota and waiting transfers. */
import {Counter, Gauge, type Registry} from 'prom-client';
import {requestClasses} from '@catkindale/policy';
import type {LinkState} from './link-quotas.js';

/** Registers the metrics; `getStates` is called on each scrape. */
export function registerLinkMetrics(registry: Registry, getStates: () => readonly LinkState[]): void {
	const registers = [registry];
	const transferred = new Counter({
		name: 'catkindale_link_bytes_total',
		help: 'Bytes of bodies that this node let cross between two regions',
		labelNames: ['from', 'to', 'class'],
		registers,
		collect() {
			transferred.reset();
			for (const {from, to, transferredBytes} of getStates()) {
				for (const requestClass of requestClasses) {
					transferred.inc({from, to, class: requestClass}, transferredBytes[requestClass]);
				}
			}
		},
	});
	const quota = new Gauge({
		name: 'catkindale_link_quota_bytes_per_second',
		help: 'Part of a link that this node may use',
		labelNames: ['from', 'to'],
		registers,
		collect() {
			quota.reset();
			for (const {from, to, allocation} of getStates()) {
				quota.set({from, to}, allocation.rate);
			}
		},
	});
	const waiting = new Gauge({
		name: 'catkindale_link_waiting',
		help: 'Bodies that wait for quota of a link',
		labelNames: ['from', 'to'],
		registers,
		collect() {
			waiting.reset();
			for (const {from, to, waitingTransfers} of getStates()) {
				waiting.set({from, to}, waitingTransfers);
			}
		},
	});
}
