/** VM list driver for the HTTP interface of the stand-in. */
import * as z from 'zod';
import {machineListDrivers} from './driver-registry.js';
import {createHttpCaller, parseJson} from './http-caller.js';
import type {ListedMachine, MachineList} from './machine-list-port.js';

const machinesSchema = z.object({
	machines: z.array(z.object({id: z.string(), state: z.enum(['live', 'leaving'])})),
});

const statusOk = 200;

machineListDrivers.register('http', (settings): MachineList => {
	const caller = createHttpCaller(settings);
	return {
		async list() {
			const outcome = await caller.call('GET', '/machines');
			if (outcome.kind !== 'answered') {
				return {kind: 'not-done', reason: outcome.reason};
			}

			if (outcome.status !== statusOk) {
				return {kind: 'not-done', reason: `the VM list responded with status ${outcome.status}`};
			}

			const machines = parseMachines(outcome.body);
			return machines ? {kind: 'done', machines} : {kind: 'not-done', reason: 'the VM list is malformed'};
		},
		close: async () => caller.close(),
	};
});

function parseMachines(body: Uint8Array): readonly ListedMachine[] | undefined {
	try {
		return machinesSchema.parse(parseJson(body)).machines;
	} catch {
		return undefined;
	}
}
