/**
 * What a node knows of the configuration and what it puts in force: the
 * highest known version, held back until the node's knowledge has been
 * current once, with all restrictions applied.
 */
import {
	type Configuration, type Restriction, type VersionedConfiguration, type VersionedRecord, restrictConfiguration,
} from '@catkindale/policy';
import {emptyConfigurationRecord} from './configuration-change.js';

export type ConfigurationStore = {
	getLatest: () => VersionedRecord;
	/** Takes a record of a higher version; false for any other. */
	update: (record: VersionedRecord) => boolean;
	/** Allows what is known to be in force; until then nothing is. */
	allowActivation: () => void;
	setRestrictions: (restrictions: readonly Restriction[]) => void;
	setLeavingTargets: (targets: ReadonlySet<string>) => void;
	/** What is in force; undefined before anything is. */
	getEffective: () => VersionedConfiguration | undefined;
};

export function createConfigurationStore(): ConfigurationStore {
	let known = emptyConfigurationRecord;
	let isReleased = false;
	let restrictions: readonly Restriction[] = [];
	let leavingTargets: ReadonlySet<string> = new Set();
	return {
		getLatest: () => known,
		update(record) {
			if (record.version <= known.version) {
				return false;
			}

			known = record;
			return true;
		},
		allowActivation() {
			isReleased = true;
		},
		setRestrictions(next) {
			restrictions = next;
		},
		setLeavingTargets(next) {
			leavingTargets = next;
		},
		getEffective() {
			if (!isReleased || known.version === 0) {
				return undefined;
			}

			const restricted = restrictConfiguration(known.configuration, restrictions);
			return {version: known.version, configuration: drainTargets(restricted, leavingTargets)};
		},
	};
}

function drainTargets(configuration: Configuration, leaving: ReadonlySet<string>): Configuration {
	const names = configuration.targets.map(target => target.name).filter(name => leaving.has(name));
	const drains = names.map(name => ({kind: 'target' as const, name}));
	return drains.length === 0 ? configuration : {...configuration, drains: [...configuration.drains, ...drains]};
}
