/** The state of the node from which admin actions create their responses. */
import {
	type Member, type RegionConfirmation, type Restriction, type VersionedConfiguration, type VersionedConfigurationRecord, getRegionConfirmations,
} from '@catkindale/policy';

export type AdminState = {
	configuration: VersionedConfiguration | undefined;
	/** The record of the highest version that this node has received, with the latest changes. */
	latestRecord: VersionedConfigurationRecord | undefined;
	members: readonly Member[];
	/** Number of VMs that the platform lists as live; 0 until the list is read. */
	liveMachineCount: number;
	restrictions: readonly Restriction[];
	/** Members that lookups leave out. */
	unavailableMembers: ReadonlySet<string>;
	/** The effective configuration version of each peer, as it last reported. */
	readonly peerVersions: Map<string, number>;
};

export function createAdminState(): AdminState {
	return {
		configuration: undefined, latestRecord: undefined, members: [], liveMachineCount: 0, restrictions: [], unavailableMembers: new Set(), peerVersions: new Map(),
	};
}

/** Returns which members of each region run the version, according to the peers' last reports to this node. */
export function getRegionPropagation(state: AdminState, ownId: string, version: number): RegionConfirmation[] {
	const getVersion = (id: string): number => (id === ownId ? state.configuration?.version : state.peerVersions.get(id)) ?? 0;
	return getRegionConfirmations(state.members, getVersion, version);
}
