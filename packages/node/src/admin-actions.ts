/** The registry of admin actions. Each action is a module that registers itself. */
import {assertInvariant} from '@catkindale/common';
import type {NodeContext} from './node-context.js';
import type {AdminState} from './admin-state.js';

export type AdminRequest = {
	readonly query: URLSearchParams;
	readonly body: string;
};

export type AdminResponse = {readonly status: number; readonly body: unknown};

export type AdminAction = {
	readonly name: string;
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly run: (context: NodeContext, state: AdminState, request: AdminRequest) => Promise<AdminResponse>;
};

const actions = new Map<string, AdminAction>();

export function registerAdminAction(action: AdminAction): void {
	const key = `${action.method} ${action.path}`;
	assertInvariant(!actions.has(key), 'admin actions have unique methods and paths', {key});
	actions.set(key, action);
}

export function findAdminAction(method: string, path: string): AdminAction | undefined {
	return actions.get(`${method} ${path}`);
}
