/** The newcomer's first look: a fleet of three nodes serves a look-up and an order. */
import {setTimeout as delay} from 'node:timers/promises';
import {createSilentLogger, hashText} from '@catkindale/common';
import {type NodeHandle, settingsSchema, startNode} from '@catkindale/node';
import {
	type Standin, startMachineListStandin, startObjectStoreStandin, startTableStandin, startTargetStandin,
} from '@catkindale/standins';
import {request} from 'undici';

const loopback = {host: '127.0.0.1', port: 0};
const regions = ['oslo', 'bergen', 'tromso'];
const operatorToken = 'demo-operator-token';
const callerKey = 'demo-caller-key';
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
	await Promise.all(nodes.map(async node => node.stop()));
	await Promise.all(standins.map(async standin => standin.stop()));
	print('all nodes stopped gracefully');
	return isServed;
}

async function callService(nodes: readonly NodeHandle[], print: (line: string) => void): Promise<boolean> {
	const look = await request(`http://${nodes[0]?.addresses.caller}/v1/entries?service=pricing`);
	const {entries} = await look.body.json() as {entries: Array<{address: string}>};
	const entry = `http://${entries[0]?.address}`;
	print(`the directory names ${entries.length} entries; the first is ${entries[0]?.address}`);
	const headers = {authorization: `Bearer ${callerKey}`};
	const price = await request(`${entry}/prices/ENGM`, {headers});
	print(`GET /prices/ENGM: ${price.statusCode} ${await price.body.text()}`);
	const order = await request(`${entry}/orders`, {method: 'POST', headers, body: '{"litres": 900}'});
	print(`POST /orders: ${order.statusCode}, outcome ${String(order.headers['catkindale-outcome'])}`);
	await order.body.dump();
	const refused = await request(`${entry}/prices/ENGM`, {headers: {authorization: 'Bearer wrong'}});
	print(`GET with a wrong key: ${refused.statusCode} ${await refused.body.text()}`);
	return price.statusCode === statusDone && order.statusCode === statusDone;
}

async function startDemoNode(region: string, platform: Record<'table' | 'objects' | 'machines', Standin>): Promise<NodeHandle> {
	const listen = '127.0.0.1:0';
	const settings = settingsSchema.parse({
		node: {name: `${region}-1`, region, zone: `${region}-a`},
		listen: {
			caller: listen, peer: listen, admin: listen, metrics: listen,
		},
		platform: {
			table: {address: platform.table.address},
			objects: {address: platform.objects.address},
			machines: {address: platform.machines.address},
		},
		secrets: {peer: 'demo-peer-secret-of-the-fleet', operatorToken},
		timing: {lookupHoldMilliseconds: demoHoldMilliseconds},
	});
	return startNode(settings, {logger: createSilentLogger()});
}

function getManifest(targetAddress: string): string {
	const address = targetAddress.replace('http://', '');
	const lines = regions.map(region => `[[regions]]\nname = "${region}"\nzones = ["${region}-a"]`);
	return `${lines.join('\n')}
[[customers]]
name = "wideroe"
rate = 100
burst = 60
[[keys]]
customer = "wideroe"
hash = "${hashText(callerKey)}"
[[services]]
name = "pricing"
version = "1"
[[routes]]
service = "pricing"
method = "GET"
path = "/prices/:airfield"
idempotent = true
[[routes]]
service = "pricing"
method = "POST"
path = "/orders"
idempotent = false
[[targets]]
name = "pricing-1"
service = "pricing"
version = "1"
region = "oslo"
zone = "oslo-a"
address = "${address}"
slots = 6
`;
}
