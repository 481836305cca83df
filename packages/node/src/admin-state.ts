/** What the admin task knows of the node for its answers. */
import {
	type Member, type RegionForce, type Restriction, type VersionedConfiguration, type VersionedRecord, getForceByRegion,
} from '@catkindale/policy';

export type AdminState = {
	configuration: VersionedConfiguration | undefined;
	/** The highest record that this node knows, with the latest changes. */
	record: VersionedRecord | undefined;
	members: readonly Member[];
	/** How many VMs the platform lists as live; 0 before the list was read. */
	listedCount: number;
	restrictions: readonly Restriction[];
	/** Members that look-ups leave out. */
	unavailable: ReadonlySet<string>;
	/** The configuration version in force on each peer, as it last reported. */
	readonly peerVersions: Map<string, number>;
};

export function createAdminState(): AdminState {
	return {
		configuration: undefined, record: undefined, members: [], listedCount: 0, restrictions: [], unavailable: new Set(), peerVersions: new Map(),
	};
}

/** How far a version has come in each region, as this node knows. */
export function getForce(state: AdminState, ownId: string, version: number): RegionForce[] {
	const getVersion = (id: string): number => (id === ownId ? state.configuration?.version : state.peerVersions.get(id)) ?? 0;
	return getForceByRegion(state.members, getVersion, version);
}
