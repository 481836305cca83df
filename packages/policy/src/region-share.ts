/**
 * The share of a region's requests that is planned to run in the region itself.
 *
 * It answers a region with too few slots for its callers. Without a plan, all
 * of its requests run at home until the queues there are full; as long as a
 * request runs, nothing shows that. Then most of the next ones run elsewhere,
 * where they find nothing cached. With a plan, the surplus runs elsewhere from the
 * first request on, always with the same objects, and the share changes slowly,
 * by the utilization of both sides.
 */

export type RegionCapacity = {
	readonly localSlots: number;
	readonly remoteSlots: number;
	/** Number of regions that have targets or callers. */
	readonly regions: number;
};

export type RegionUtilization = {
	/** Utilization of the slots in the region, from 0 to 1. */
	readonly local: number;
	/** Utilization of the slots in all other regions. */
	readonly remote: number;
};

export type RegionShare = {
	/** Planned fraction of the requests that run in the region, from 0 to 1. */
	readonly share: number;
	readonly updatedAt: number;
};

/** Half of what may move between regions within two seconds; the other half is left to sudden changes. */
const changePerSecond = 0.035;
const minimumShare = 0.05;
/** Above this utilization, requests at home wait for each other. */
const fullUtilization = 0.85;
/** Requests move only to regions with clearly more room. */
const usefulDifference = 0.1;
/** Below this utilization, the region has room for more of its own requests. */
const roomyUtilization = 0.6;

/** Returns the share with which a gateway starts: as if every region had as many callers. */
export function createRegionShare({localSlots, remoteSlots, regions}: RegionCapacity, now: number): RegionShare {
	const slots = localSlots + remoteSlots;
	const share = slots === 0 || remoteSlots === 0 ? 1 : Math.min(1, localSlots * regions / slots);
	return {share: Math.max(minimumShare, share), updatedAt: now};
}

/** Returns the share after the time since the last update, in which the utilizations were about these. */
export function updateRegionShare({share, updatedAt}: RegionShare, utilization: RegionUtilization, now: number): RegionShare {
	const change = changePerSecond * Math.max(0, now - updatedAt) / 1000;
	return {share: Math.min(1, Math.max(minimumShare, share + (getDirection(utilization) * change))), updatedAt: now};
}

function getDirection({local, remote}: RegionUtilization): -1 | 0 | 1 {
	if (local > fullUtilization && remote < local - usefulDifference) {
		return -1;
	}

	return local < roomyUtilization || remote > fullUtilization ? 1 : 0;
}
