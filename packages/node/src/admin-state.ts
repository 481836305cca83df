/** What the admin task knows of the node for its answers. */
import {
	type Member, type RegionConfirmation, type Restriction, type VersionedConfiguration, type VersionedRecord, getRegionConfirmations,
} from '@catkindale/policy';

export type AdminState = {
	configuration: VersionedConfiguration | undefined;
	/** The highest record that this node knows, with the latest changes. */
	latestRecord: VersionedRecord | undefined;
	members: readonly Member[];
	/** How many VMs the platform lists as live; 0 before the list was read. */
	liveMachineCount: number;
	restrictions: readonly Restriction[];
	/** Members that look-ups leave out. */
	unavailableMembers: ReadonlySet<string>;
	/** The configuration version in force on each peer, as it last reported. */
	readonly peerVersions: Map<string, number>;
};

export function createAdminState(): AdminState {
	return {
		configuration: undefined, latestRecord: undefined, members: [], liveMachineCount: 0, restrictions: [], unavailableMembers: new Set(), peerVersions: new Map(),
	};
}

/** How far a version has come in each region, as this node knows. */
export function getRegionPropagation(state: AdminState, ownId: string, version: number): RegionConfirmation[] {
	const getVersion = (id: string): number => (id === ownId ? state.configuration?.version : state.peerVersions.get(id)) ?? 0;
	return getRegionConfirmations(state.members, getVersion, version);
}
