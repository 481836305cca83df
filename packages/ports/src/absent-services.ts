/**
 * Drivers named `none`, for deployments without an object store or a list of
 * VMs, or whose table service is provided by an adapter. Every call fails.
 */
import {machineListDrivers, objectDrivers, tableDrivers} from './driver-registry.js';

const reason = 'the service is disabled in the settings';

objectDrivers.register('none', () => ({
	get: async () => ({kind: 'not-done', reason}),
	put: async () => ({kind: 'not-done', reason}),
	async close() {
		// No connection is open.
	},
}));

machineListDrivers.register('none', () => ({
	list: async () => ({kind: 'not-done', reason}),
	async close() {
		// No connection is open.
	},
}));

tableDrivers.register('none', () => ({
	get: async () => ({kind: 'not-done', reason}),
	list: async () => ({kind: 'not-done', reason}),
	transact: async () => ({kind: 'not-done', reason}),
	async close() {
		// No connection is open.
	},
}));
