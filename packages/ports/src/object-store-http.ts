/** Object store driver for the HTTP interface of the stand-in. */
import {objectDrivers} from './driver-registry.js';
import {createHttpCaller} from './http-caller.js';
import type {ObjectStore} from './object-store-port.js';

const statusOk = 200;
const statusNotFound = 404;
/** Above any snapshot of client blocks. */
const maximumObjectBytes = 268_435_456;

objectDrivers.register('http', (settings): ObjectStore => {
	const caller = createHttpCaller({...settings, maximumResponseBytes: maximumObjectBytes});
	return {
		async get(name) {
			const outcome = await caller.call('GET', getPath(name));
			if (outcome.kind !== 'answered') {
				return {kind: 'not-done', reason: outcome.reason};
			}

			switch (outcome.status) {
				case statusOk: {
					return {kind: 'done', value: outcome.body};
				}

				case statusNotFound: {
					return {kind: 'done', value: undefined};
				}

				default: {
					return {kind: 'not-done', reason: `the object store responded with status ${outcome.status}`};
				}
			}
		},
		async put(name, content) {
			const outcome = await caller.call('PUT', getPath(name), content);
			if (outcome.kind === 'answered' && outcome.status === statusOk) {
				return {kind: 'done', value: undefined};
			}

			if (outcome.kind === 'not-sent') {
				return {kind: 'not-done', reason: outcome.reason};
			}

			const reason = outcome.kind === 'lost' ? outcome.reason : `the object store responded with status ${outcome.status}`;
			return {kind: 'unknown', reason};
		},
		close: async () => caller.close(),
	};
});

function getPath(name: string): string {
	return `/objects/${encodeURIComponent(name)}`;
}
