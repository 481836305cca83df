/** The object store driver for the HTTP interface that the stand-in serves. */
import {objectDrivers} from './driver-registry.js';
import {createHttpCaller} from './http-caller.js';
import type {ObjectStore} from './object-store-port.js';

const statusDone = 200;
const statusMissing = 404;

objectDrivers.register('http', (settings): ObjectStore => {
	const caller = createHttpCaller(settings);
	return {
		async get(name) {
			const outcome = await caller.call('GET', getPath(name));
			if (outcome.kind !== 'answered') {
				return {kind: 'not-done', reason: outcome.reason};
			}

			switch (outcome.status) {
				case statusDone: {
					return {kind: 'done', value: outcome.body};
				}

				case statusMissing: {
					return {kind: 'done', value: undefined};
				}

				default: {
					return {kind: 'not-done', reason: `the object store answered with status ${outcome.status}`};
				}
			}
		},
		async put(name, content) {
			const outcome = await caller.call('PUT', getPath(name), content);
			if (outcome.kind === 'answered' && outcome.status === statusDone) {
				return {kind: 'done', value: undefined};
			}

			if (outcome.kind === 'not-sent') {
				return {kind: 'not-done', reason: outcome.reason};
			}

			const reason = outcome.kind === 'lost' ? outcome.reason : `the object store answered with status ${outcome.status}`;
			return {kind: 'unknown', reason};
		},
		close: async () => caller.close(),
	};
});

function getPath(name: string): string {
	return `/objects/${encodeURIComponent(name)}`;
}
