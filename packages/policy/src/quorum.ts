/**
 * Quorums over the fleet: a majority of the members in each of a majority of
 * the regions. Any two such quorums have a node in common.
 *
 * Source: Kumar, "Hierarchical quorum consensus: a new algorithm for managing
 * replicated data", IEEE Transactions on Computers 40(9), 1991.
 */

export type QuorumMember = {readonly id: string; readonly region: string};

/** Which members of one region have confirmed a version. */
export type RegionConfirmation = {
	readonly region: string;
	readonly members: number;
	/** Members that haven't confirmed the version. */
	readonly missing: readonly string[];
	readonly isConfirmedByAll: boolean;
	readonly isConfirmedByMajority: boolean;
};

/**
 * The smallest value that a quorum of members doesn't exceed; infinite if
 * there is none. `getValue` returns infinity for a member without a value.
 */
export function getQuorumValue(members: readonly QuorumMember[], getValue: (id: string) => number): number {
	const valuesByRegion = new Map<string, number[]>();
	for (const {id, region} of members) {
		valuesByRegion.set(region, [...valuesByRegion.get(region) ?? [], getValue(id)]);
	}

	const regionValues = [...valuesByRegion.values()].map(values => getMajorityValue(values));
	return getMajorityValue(regionValues);
}

/** The confirmation of the version in each region, sorted by region; `getVersion` returns the version that a member has confirmed. */
export function getRegionConfirmations(members: readonly QuorumMember[], getVersion: (id: string) => number, version: number): RegionConfirmation[] {
	const regions = [...new Set(members.map(member => member.region))].toSorted((left, right) => left.localeCompare(right));
	return regions.map(region => {
		const ids = members.filter(member => member.region === region).map(member => member.id);
		const missing = ids.filter(id => getVersion(id) < version);
		return {
			region, members: ids.length, missing, isConfirmedByAll: missing.length === 0, isConfirmedByMajority: missing.length * 2 < ids.length,
		};
	});
}

/** Whether a quorum has confirmed the version, so that it counts as accepted. */
export function hasQuorum(regions: readonly RegionConfirmation[]): boolean {
	const majorities = regions.filter(region => region.isConfirmedByMajority).length;
	return majorities * 2 > regions.length;
}

/**
 * Whether the members are more than half of the VMs that the platform lists as
 * live. Until then a quorum of the members proves nothing: the first node of a
 * starting fleet would be a majority by itself.
 */
export function isFleetFormed(memberCount: number, listedCount: number): boolean {
	return memberCount * 2 > listedCount;
}

function getMajorityValue(values: readonly number[]): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.floor(sorted.length / 2)] ?? Number.POSITIVE_INFINITY;
}
