/**
 * Registry of plug-ins. A plug-in registers itself when its module is loaded;
 * the kernel starts those that a configured role needs.
 */
import {assertInvariant} from '@catkindale/common';

/**
 * A running component of the process, which owns its sockets, timers and state.
 * `onAllStarted` is called once all tasks have started and subscribed to the bus.
 * `drain` stops accepting work and resolves once the work in progress is done.
 * `stop` then releases the task's resources.
 */
export type Task = {
	onAllStarted?: () => Promise<void>;
	drain?: () => Promise<void>;
	stop: () => Promise<void>;
};

export type Plugin<Context> = {
	readonly name: string;
	/** The plug-in runs if the node has any of these roles. */
	readonly roles: readonly string[];
	/** Plug-ins with a lower order start earlier and stop later. */
	readonly order: number;
	readonly start: (context: Context) => Promise<Task>;
};

export type PluginRegistry<Context> = {
	register: (plugin: Plugin<Context>) => void;
	/** Returns the plug-ins for the given roles in start order. */
	getPlugins: (roles: readonly string[]) => Array<Plugin<Context>>;
};

export function createPluginRegistry<Context>(): PluginRegistry<Context> {
	const plugins = new Map<string, Plugin<Context>>();
	return {
		register(plugin) {
			assertInvariant(!plugins.has(plugin.name), 'plug-in names are unique', {name: plugin.name});
			plugins.set(plugin.name, plugin);
		},
		getPlugins(roles) {
			const selected = [...plugins.values()].filter(plugin => plugin.roles.some(role => roles.includes(role)));
			return selected.toSorted((left, right) => left.order - right.order);
		},
	};
}
