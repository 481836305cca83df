/** Drivers for deployments that have no object store or no list of VMs. */
import {machineListDrivers, objectDrivers} from './driver-registry.js';

const reason = 'the settings switch this service off';

objectDrivers.register('none', () => ({
	get: async () => ({kind: 'not-done', reason}),
	put: async () => ({kind: 'not-done', reason}),
	async close() {
		// There is nothing to close.
	},
}));

machineListDrivers.register('none', () => ({
	list: async () => ({kind: 'not-done', reason}),
	async close() {
		// There is nothing to close.
	},
}));
