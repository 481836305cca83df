/** Drivers for deployments that have no object store or no list of VMs, or whose table an adapter brings. */
import {machineListDrivers, objectDrivers, tableDrivers} from './driver-registry.js';

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

tableDrivers.register('none', () => ({
	get: async () => ({kind: 'not-done', reason}),
	list: async () => ({kind: 'not-done', reason}),
	transact: async () => ({kind: 'not-done', reason}),
	async close() {
		// There is nothing to close.
	},
}));
