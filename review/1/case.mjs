/**
 * A planned stop of one gateway. Clients that pipeline send three idempotent
 * requests on their open connections while their lookup is still valid.
 */
import {setTimeout as delay} from 'node:timers/promises';
import * as support from '../support.mjs';

const clientCount = 6;
const stableWindowMilliseconds = 3000;
const sentAfterSignalMilliseconds = 300;

await support.runCase(import.meta.dirname, async isTrouble => {
	const store = await support.startStore();
	store.put('op', 'config', support.createConfiguration(1));
	const instances = [];
	for (const id of ['i-1', 'i-2', 'i-3']) {
		instances.push(await support.startInstance(store, id, {
			slots: 8,
			answer(request, response, {requestId}) {
				// The first request of each connection takes less time than those behind it.
				setTimeout(() => {
					support.answerWith(response, requestId, `answer to ${requestId}`);
				}, request.url.endsWith('-1') ? 100 : 250);
			},
		}));
	}

	const stopping = await support.startGateway(store, 'edge-oslo-a-1');
	const staying = await support.startGateway(store, 'edge-oslo-a-2', {seeds: [stopping.control]});
	await support.waitUntilServed(stopping);
	await support.waitUntilServed(staying);
	// Both gateways know each other and nothing else is wrong for longer than the stable window.
	await delay(stableWindowMilliseconds + 1000);

	const clients = [];
	for (let index = 1; index <= clientCount; index++) {
		clients.push(await support.openConnection(stopping.front, `c${index}`));
	}

	const lookup = await support.lookUp(staying);
	if (!lookup.addresses.includes(stopping.front)) {
		throw new Error('the lookup does not name the gateway');
	}

	for (const client of clients) {
		client.socket.write(support.formatRequest({path: '/history/warm', id: `${client.name}-0`}));
	}

	await support.waitUntil(() => clients.every(({answers}) => answers.length === 1), 'the first answers');
	if (isTrouble) {
		support.signal(stopping, 'SIGTERM');
	}

	await delay(sentAfterSignalMilliseconds);
	const sent = [];
	for (const client of clients) {
		const ids = [1, 2, 3].map(number => `${client.name}-${number}`);
		support.record(`client ${client.name}: sends ${ids.join(', ')} behind one another`);
		client.socket.write(ids.map(id => support.formatRequest({path: `/history/${id}`, id, deadline: 2000})).join(''));
		sent.push(...ids);
	}

	await delay(2500);
	const answered = new Set(clients.flatMap(({answers}) => answers.map(({id}) => id)));
	const passedOn = new Set(instances.flatMap(({ran}) => ran.map(({requestId}) => requestId)));
	const lost = sent.filter(id => passedOn.has(id) && !answered.has(id));
	support.record(`sent ${sent.length}, of these passed on to instances ${sent.filter(id => passedOn.has(id)).length}, answered ${sent.filter(id => answered.has(id)).length}`);
	return lost.length > 0 && `LOST: ${lost.length} requests were passed on to an instance and the gateway closed their connections without an answer: ${lost.join(', ')}`;
});
