/**
 * Holds the latest configuration record that a node has received and derives
 * the effective configuration from it. Nothing is effective until the node's
 * state has been fresh once. All restrictions are applied.
 */
import {
	type Configuration, type Restriction, type VersionedConfiguration, type VersionedConfigurationRecord, restrictConfiguration,
} from '@catkindale/policy';
import {emptyConfigurationRecord} from './configuration-change.js';

export type ConfigurationStore = {
	getLatest: () => VersionedConfigurationRecord;
	/** Stores a record of a higher version. Returns false for any other version. */
	update: (record: VersionedConfigurationRecord) => boolean;
	/** Allows the latest record to become effective. */
	allowActivation: () => void;
	setRestrictions: (restrictions: readonly Restriction[]) => void;
	setLeavingTargets: (targets: ReadonlySet<string>) => void;
	/** Returns undefined while no configuration is effective. */
	getEffective: () => VersionedConfiguration | undefined;
};

export function createConfigurationStore(): ConfigurationStore {
	let latest = emptyConfigurationRecord;
	let isActivationAllowed = false;
	let restrictions: readonly Restriction[] = [];
	let leavingTargets: ReadonlySet<string> = new Set();
	return {
		getLatest: () => latest,
		update(record) {
			if (record.version <= latest.version) {
				return false;
			}

			latest = record;
			return true;
		},
		allowActivation() {
			isActivationAllowed = true;
		},
		setRestrictions(next) {
			restrictions = next;
		},
		setLeavingTargets(next) {
			leavingTargets = next;
		},
		getEffective() {
			if (!isActivationAllowed || latest.version === 0) {
				return undefined;
			}

			const restricted = restrictConfiguration(latest.configuration, restrictions);
			return {version: latest.version, configuration: drainTargets(restricted, leavingTargets)};
		},
	};
}

function drainTargets(configuration: Configuration, leaving: ReadonlySet<string>): Configuration {
	const names = configuration.targets.map(target => target.name).filter(name => leaving.has(name));
	const drains = names.map(name => ({kind: 'target' as const, name}));
	return drains.length === 0 ? configuration : {...configuration, drains: [...configuration.drains, ...drains]};
}
