/**
 * The registry of plug-ins. A plug-in registers itself when its module is
 * loaded; the kernel starts those whose role is switched on.
 */
import {assertInvariant} from '@catkindale/common';

/**
 * A running part of the process that owns its sockets, timers and state.
 * `begin` runs once all tasks have started and can hear each other; `drain`
 * stops taking new work and resolves once the work in hand is done;
 * `stop` then frees what the task owns.
 */
export type Task = {
	begin?: () => Promise<void>;
	drain?: () => Promise<void>;
	stop: () => Promise<void>;
};

export type Plugin<Context> = {
	readonly name: string;
	/** The roles that need the plug-in; it runs if any of them is on. */
	readonly roles: readonly string[];
	/** Plug-ins with a lower order start earlier and stop later. */
	readonly order: number;
	readonly start: (context: Context) => Promise<Task>;
};

export type PluginRegistry<Context> = {
	register: (plugin: Plugin<Context>) => void;
	/** The plug-ins for the given roles in the order of their start. */
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
			const wanted = [...plugins.values()].filter(plugin => plugin.roles.some(role => roles.includes(role)));
			return wanted.toSorted((left, right) => left.order - right.order);
		},
	};
}
