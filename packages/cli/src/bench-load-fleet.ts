/** A small fleet in one process for the load bench: platform stand-ins, nodes and target stand-ins on loopback. */
import {setTimeout as delay} from 'node:timers/promises';
import {type NodeHandle, getNodeQuotas} from '@catkindale/node';
import {
	type Standin, type TargetStandin, startMachineListStandin, startObjectStoreStandin, startTableStandin, startTargetStandin,
} from '@catkindale/standins';
import {request} from 'undici';
import {type EmbeddedPlatform, startEmbeddedNode} from './embedded-node.js';
import {formatPricingManifest} from './pricing-manifest.js';

export type FleetCustomer = {readonly name: string; readonly rate: number; readonly burst: number};

export type FleetTarget = {readonly name: string; readonly region: string; readonly address: string; readonly standin: TargetStandin};

export type LoadFleet = {
	readonly nodes: ReadonlyArray<{readonly id: string; readonly region: string; readonly address: string}>;
	readonly targets: readonly FleetTarget[];
	/** Applies a manifest with these customers, and waits a fixed time that is enough for every node to apply it. */
	readonly applyCustomers: (customers: readonly FleetCustomer[]) => Promise<void>;
	/** The slots that each node holds at each target now. */
	readonly getSlots: () => NodeSlots[];
	readonly stop: () => Promise<void>;
};

export type NodeSlots = {
	/** Base address of the node for callers. */
	readonly address: string;
	readonly region: string;
	readonly target: FleetTarget;
	readonly held: number;
	readonly free: number;
};

export type FleetShape = {
	readonly regions: readonly string[];
	readonly nodesPerRegion: number;
	readonly targetsPerRegion: number;
	readonly slots: number;
	readonly serviceMilliseconds: number;
};

const loopback = {host: '127.0.0.1', port: 0};
const operatorToken = 'bench-operator-token';
const settleMilliseconds = 6000;

export async function startLoadFleet(shape: FleetShape): Promise<LoadFleet> {
	const table = await startTableStandin(loopback);
	const objects = await startObjectStoreStandin(loopback);
	const machines = await startMachineListStandin(loopback);
	const platform = {table, objects, machines};
	const targets = await startTargets(shape);
	const handles: NodeHandle[] = [];
	for (const region of shape.regions) {
		for (let index = 1; index <= shape.nodesPerRegion; index++) {
			handles.push(await startFleetNode(`${region}-${index}`, region, platform));
		}
	}

	await putMachineList(machines, handles);
	return {
		targets,
		nodes: handles.map(handle => ({id: handle.context.settings.node.name, region: handle.context.settings.node.region, address: handle.addresses.caller})),
		async applyCustomers(customers) {
			const response = await request(`http://${handles[0]?.addresses.admin}/v1/configuration`, {
				method: 'POST', body: getManifest(shape, targets, customers), headers: {authorization: `Bearer ${operatorToken}`},
			});
			await response.body.dump();
			await delay(settleMilliseconds);
		},
		getSlots: () => handles.flatMap(handle => targets.map(target => {
			const {slots} = getNodeQuotas(handle.context);
			return {
				address: `http://${handle.addresses.caller}`, region: handle.context.settings.node.region, target, held: slots.getHeld(target.name), free: slots.getFree(target.name),
			};
		})),
		async stop() {
			await Promise.all(handles.map(async handle => handle.stop()));
			await Promise.all([table, objects, machines, ...targets.map(target => target.standin)].map(async standin => standin.stop()));
		},
	};
}

async function startTargets({regions, targetsPerRegion, slots, serviceMilliseconds}: FleetShape): Promise<FleetTarget[]> {
	const targets: FleetTarget[] = [];
	for (const region of regions) {
		for (let index = 1; index <= targetsPerRegion; index++) {
			const standin = await startTargetStandin(loopback, {slots, serviceMilliseconds}, index);
			targets.push({
				name: `${region}-target-${index}`, region, address: standin.address, standin,
			});
		}
	}

	return targets;
}

async function putMachineList(machines: Standin, handles: readonly NodeHandle[]): Promise<void> {
	const listed = handles.map(handle => ({id: handle.context.settings.node.name, state: 'live'}));
	const response = await request(`${machines.address}/machines`, {method: 'PUT', body: JSON.stringify({machines: listed})});
	await response.body.dump();
}

async function startFleetNode(name: string, region: string, platform: EmbeddedPlatform): Promise<NodeHandle> {
	return startEmbeddedNode({place: {name, region, zone: `${region}-a`}, platform, operatorToken});
}

export function getCustomerKey(customer: string): string {
	return `bench-key-of-${customer}`;
}

function getManifest({regions, slots}: FleetShape, targets: readonly FleetTarget[], customers: readonly FleetCustomer[]): string {
	return formatPricingManifest({
		regions,
		customers: customers.map(({name, rate, burst}) => ({
			name, rate, burst, key: getCustomerKey(name),
		})),
		targets: targets.map(({name, region, address}) => ({
			name, region, address, slots,
		})),
	});
}
