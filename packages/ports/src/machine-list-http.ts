/** The driver of the VM list for the HTTP interface that the stand-in serves. */
import * as z from 'zod';
import {machineListDrivers} from './driver-registry.js';
import {createHttpCaller, parseJson} from './http-caller.js';
import type {MachineList} from './machine-list-port.js';

const machinesSchema = z.object({
	machines: z.array(z.object({id: z.string(), state: z.enum(['live', 'leaving'])})),
});

const statusDone = 200;

machineListDrivers.register('http', (settings): MachineList => {
	const caller = createHttpCaller(settings);
	return {
		async list() {
			const outcome = await caller.call('GET', '/machines');
			if (outcome.kind !== 'answered') {
				return {kind: 'not-done', reason: outcome.reason};
			}

			if (outcome.status !== statusDone) {
				return {kind: 'not-done', reason: `the list answered with status ${outcome.status}`};
			}

			return {kind: 'done', machines: machinesSchema.parse(parseJson(outcome.body)).machines};
		},
		close: async () => caller.close(),
	};
});
