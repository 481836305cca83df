/** The demo: a fleet of three nodes serves a directory lookup, a price request and an order. */
import {setTimeout as delay} from 'node:timers/promises';
import type {NodeHandle} from '@catkindale/node';
import {
	type Standin, type TargetStandin, startMachineListStandin, startObjectStoreStandin, startTableStandin, startTargetStandin,
} from '@catkindale/standins';
import {request} from 'undici';
import {type EmbeddedPlatform, startEmbeddedNode} from './embedded-node.js';
import {formatPricingManifest} from './pricing-manifest.js';

const loopback = {host: '127.0.0.1', port: 0};
const regions = ['oslo', 'bergen', 'tromso'];
const operatorToken = 'demo-operator-token';
const callerKey = 'demo-caller-key';
const headers = {authorization: `Bearer ${callerKey}`};
const settleMilliseconds = 1500;
const lookupHoldMilliseconds = 200;
const statusOk = 200;

export async function runDemo(print: (line: string) => void): Promise<boolean> {
	const table = await startTableStandin(loopback);
	const objects = await startObjectStoreStandin(loopback);
	const machines = await startMachineListStandin(loopback);
	const target = await startTargetStandin(loopback, {slots: 6});
	const standins: Standin[] = [table, objects, machines, target];
	print('stand-ins started: table, object store, machine list, one target');

	const nodes: NodeHandle[] = [];
	for (const region of regions) {
		nodes.push(await startDemoNode(region, {table, objects, machines}));
	}

	print(`nodes started: ${nodes.map(node => node.context.settings.node.name).join(', ')}`);
	const applyResponse = await request(`http://${nodes[0]?.addresses.admin}/v1/configuration`, {
		method: 'POST', body: getManifest(target.address), headers: {authorization: `Bearer ${operatorToken}`},
	});
	print(`response to the manifest: ${await applyResponse.body.text()}`);
	await delay(settleMilliseconds);
	const isServed = await callService(nodes, print);
	print(`the target executed the order ${countOrderRuns(target)} time(s)`);
	await Promise.all(nodes.map(async node => node.stop()));
	await Promise.all(standins.map(async standin => standin.stop()));
	print('all nodes stopped gracefully');
	return isServed;
}

/** Number of times that the target executed requests with a ticket, whose keys begin with `t1.`. */
function countOrderRuns(target: TargetStandin): number {
	const orderRuns = Object.entries(target.getCounts().runs).filter(([key]) => key.startsWith('t1.'));
	return orderRuns.reduce((sum, [, count]) => sum + count, 0);
}

type Entry = {readonly address: string; readonly ticketPrefix: string};

async function callService(nodes: readonly NodeHandle[], print: (line: string) => void): Promise<boolean> {
	const lookupResponse = await request(`http://${nodes[0]?.addresses.caller}/v1/entries?service=pricing`);
	const {entries} = await lookupResponse.body.json() as {entries: Entry[]};
	const [entry, otherEntry] = entries;
	if (!entry || !otherEntry) {
		return false;
	}

	print(`the directory lists ${entries.length} entries; the first is ${entry.address}`);
	const priceResponse = await request(`http://${entry.address}/prices/ENGM`, {headers});
	print(`GET /prices/ENGM: ${priceResponse.statusCode} ${await priceResponse.body.text()}`);
	const orderStatuses = [await sendOrder(entry, entry, print), await sendOrder(entry, otherEntry, print)];
	const unauthorizedResponse = await request(`http://${entry.address}/prices/ENGM`, {headers: {authorization: 'Bearer wrong'}});
	print(`GET /prices/ENGM with an unknown key: ${unauthorizedResponse.statusCode} ${await unauthorizedResponse.body.text()}`);
	return [priceResponse.statusCode, ...orderStatuses].every(status => status === statusOk);
}

/** Sends the order with a ticket of `ticketEntry` to `entry`, which may be another node. Returns the status. */
async function sendOrder(ticketEntry: Entry, entry: Entry, print: (line: string) => void): Promise<number> {
	const response = await request(`http://${entry.address}/orders`, {
		method: 'POST', headers: {...headers, 'idempotency-key': `${ticketEntry.ticketPrefix}order-1`}, body: '{"litres": 900}',
	});
	const replayNote = response.headers['catkindale-replayed'] === undefined ? '' : ', replayed from the remembered response';
	print(`POST /orders at ${entry.address}: ${response.statusCode}, outcome ${String(response.headers['catkindale-outcome'])}${replayNote}`);
	await response.body.dump();
	return response.statusCode;
}

async function startDemoNode(region: string, platform: EmbeddedPlatform): Promise<NodeHandle> {
	return startEmbeddedNode({
		place: {name: `${region}-1`, region, zone: `${region}-a`}, platform, operatorToken, timing: {lookupHoldMilliseconds},
	});
}

function getManifest(address: string): string {
	return formatPricingManifest({
		regions,
		customers: [{
			name: 'wideroe', rate: 100, burst: 60, key: callerKey,
		}],
		targets: [{
			name: 'pricing-1', region: 'oslo', address, slots: 6,
		}],
		hasOrders: true,
	});
}
