/**
 * Applies settings that have changed to a running node. Only some of them can
 * change without a restart; they are replaced within the node's settings, so
 * plug-ins read them when they use them.
 */
import {isDeepStrictEqual} from 'node:util';
import type {Settings} from './settings.js';

export type SettingsChange = {
	/** Names of the changed settings that are in force now. */
	readonly applied: readonly string[];
	/** Names of the changed settings that take effect at the next start. */
	readonly pending: readonly string[];
};

const reloadableTimings = ['graceMilliseconds', 'lookupHoldMilliseconds'] as const;

export function applySettings(current: Settings, next: Settings): SettingsChange {
	const applied: string[] = [];
	if (!isDeepStrictEqual(current.peers, next.peers)) {
		current.peers = next.peers;
		applied.push('peers');
	}

	if (!isDeepStrictEqual(current.gateway, next.gateway)) {
		current.gateway = next.gateway;
		applied.push('gateway');
	}

	for (const name of reloadableTimings) {
		if (current.timing[name] !== next.timing[name]) {
			current.timing[name] = next.timing[name];
			applied.push(`timing.${name}`);
		}
	}

	const pending = (Object.keys(next) as Array<keyof Settings>).filter(name => !isDeepStrictEqual(current[name], next[name]));
	return {applied, pending};
}
