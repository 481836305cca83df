/** The newcomer's first look: a fleet of three nodes serves a look-up and an order. */
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
const demoHoldMilliseconds = 200;
const statusDone = 200;

export async function runDemo(print: (line: string) => void): Promise<boolean> {
	const table = await startTableStandin(loopback);
	const objects = await startObjectStoreStandin(loopback);
	const machines = await startMachineListStandin(loopback);
	const target = await startTargetStandin(loopback, {slots: 6});
	const standins: Standin[] = [table, objects, machines, target];
	print('stand-ins run: table, objects, machines, one target');

	const nodes: NodeHandle[] = [];
	for (const region of regions) {
		nodes.push(await startDemoNode(region, {table, objects, machines}));
	}

	print(`nodes run: ${nodes.map(node => node.context.settings.node.name).join(', ')}`);
	const applied = await request(`http://${nodes[0]?.addresses.admin}/v1/configuration`, {
		method: 'POST', body: getManifest(target.address), headers: {authorization: `Bearer ${operatorToken}`},
	});
	print(`manifest: ${await applied.body.text()}`);
	await delay(settleMilliseconds);
	const isServed = await callService(nodes, print);
	print(`times that the target ran the order: ${countOrders(target)}`);
	await Promise.all(nodes.map(async node => node.stop()));
	await Promise.all(standins.map(async standin => standin.stop()));
	print('all nodes stopped gracefully');
	return isServed;
}

/** Runs of requests with a ticket. */
function countOrders(target: TargetStandin): number {
	const runs = Object.entries(target.getCounts().runs).filter(([key]) => key.startsWith('t1.'));
	return runs.reduce((total, [, count]) => total + count, 0);
}

type Entry = {readonly address: string; readonly ticketPrefix: string};

async function callService(nodes: readonly NodeHandle[], print: (line: string) => void): Promise<boolean> {
	const look = await request(`http://${nodes[0]?.addresses.caller}/v1/entries?service=pricing`);
	const {entries} = await look.body.json() as {entries: Entry[]};
	const [entry, other] = entries;
	if (!entry || !other) {
		return false;
	}

	print(`the directory names ${entries.length} entries; the first is ${entry.address}`);
	const price = await request(`http://${entry.address}/prices/ENGM`, {headers});
	print(`GET /prices/ENGM: ${price.statusCode} ${await price.body.text()}`);
	const statuses = [await sendOrder(entry, entry, print), await sendOrder(entry, other, print)];
	const refused = await request(`http://${entry.address}/prices/ENGM`, {headers: {authorization: 'Bearer wrong'}});
	print(`GET with a wrong key: ${refused.statusCode} ${await refused.body.text()}`);
	return [price.statusCode, ...statuses].every(status => status === statusDone);
}

/** Sends the same order with the ticket of one entry, to that entry or another one. */
async function sendOrder(home: Entry, entry: Entry, print: (line: string) => void): Promise<number> {
	const answer = await request(`http://${entry.address}/orders`, {
		method: 'POST', headers: {...headers, 'idempotency-key': `${home.ticketPrefix}order-1`}, body: '{"litres": 900}',
	});
	const replayed = answer.headers['catkindale-replayed'] === undefined ? '' : ', the remembered answer';
	print(`POST /orders at ${entry.address}: ${answer.statusCode}, outcome ${String(answer.headers['catkindale-outcome'])}${replayed}`);
	await answer.body.dump();
	return answer.statusCode;
}

async function startDemoNode(region: string, platform: EmbeddedPlatform): Promise<NodeHandle> {
	return startEmbeddedNode({
		place: {name: `${region}-1`, region, zone: `${region}-a`}, platform, operatorToken, timing: {lookupHoldMilliseconds: demoHoldMilliseconds},
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
