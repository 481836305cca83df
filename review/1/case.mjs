/**
 * A new configuration adds the hosts of more teams, each with a route of the same
 * prefix. The platform restarts processes that end.
 */
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import * as support from '../support.mjs';

const clientCount = 8;
const workMilliseconds = 400;
const restartMilliseconds = 500;
/** The platform starts a process again this often. */
const restartsPerGateway = 3;
/** The routes that the change adds; without the disruption, it adds one. */
const addedRouteCount = 32;

await support.runCase(import.meta.dirname, process.env.TROUBLE !== '0', async isTrouble => {
	const store = await support.startStore();
	store.put('op', 'config', support.createConfiguration(1));
	const instances = [];
	for (const id of ['i-1', 'i-2', 'i-3']) {
		instances.push(await support.startInstance(store, id, {
			slots: 8,
			answer(_request, response, {requestId}) {
				setTimeout(() => {
					support.answerWith(response, requestId, `answer to ${requestId}`);
				}, workMilliseconds);
			},
		}));
	}

	const first = await support.startGateway(store, 'edge-oslo-a-1');
	const second = await support.startGateway(store, 'edge-oslo-a-2', {seeds: [first.control]});
	const gateways = [first, second];
	for (const gateway of gateways) {
		await support.waitUntilServed(gateway);
	}

	await delay(4000);

	const sent = [];
	const connections = [];
	const sendOrders = async label => {
		for (let index = 1; index <= clientCount; index++) {
			const gateway = gateways[index % gateways.length];
			const id = `${label}-${index}`;
			const connection = await support.openConnection(gateway.front, id);
			connections.push(connection);
			sent.push(id);
			support.record(`client ${id}: sends an order to ${gateway.name}`);
			connection.socket.write(support.formatRequest({
				method: 'POST', path: `/orders/${id}`, id, deadline: 3000, body: '{"litres":900}',
			}));
		}
	};

	// Orders at another time than the change, for comparison.
	await sendOrders('before');
	await delay(1500);
	await sendOrders('beside');
	await delay(workMilliseconds / 2);
	const configuration = support.createConfiguration(2);
	const addedCount = isTrouble ? addedRouteCount : 1;
	for (let team = 1; team <= addedCount; team++) {
		configuration.routes.rows.push([`team-${team}`, `team-${team}.example`, '/api/', 'idempotent', 1, 0.15, 1, null, 2, false, false, [], 'documents']);
	}

	support.record(`operator: version 2 adds ${addedCount} routes, the prefix /api/ on as many hosts`);
	store.put('op', 'config', configuration);
	await delay(2000);

	const isAnswered = id => connections.some(({answers}) => answers.some(answer => answer.id === id));
	const passedOn = new Set(instances.flatMap(({ran}) => ran.map(({requestId}) => requestId)));
	const lost = sent.filter(id => passedOn.has(id) && !isAnswered(id));
	// Each gateway is started again after it has ended.
	let ends = gateways.filter(({exit}) => exit).length;
	for (let count = 1; count <= restartsPerGateway; count++) {
		for (const [index, gateway] of gateways.entries()) {
			if (gateway.exit) {
				await delay(restartMilliseconds);
				gateways[index] = await support.restartGateway(gateway);
			}
		}

		await delay(2000);
		ends += gateways.filter(({exit}) => exit).length;
	}

	const summary = `${lost.length} of ${sent.length} orders were passed on to an instance and their connections ended without an answer`;
	support.record(`${summary}; processes ended by themselves ${ends} times`);
	return lost.length > 0 && `LOST: ${summary}: ${lost.join(', ')}; processes ended by themselves ${ends} times`;
});
