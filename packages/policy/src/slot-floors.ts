/**
 * The floor shares of a target's slots: whole slots go to the ranked holders
 * of the target's own region, or of the fleet when that region has none.
 */
import type {Target} from './configuration.js';
import {getWholeShare} from './customer-floors.js';
import type {Holder} from './ledger.js';
import {getRankByName, rankByName} from './name-rank.js';

const holdersByRegion = new WeakMap<readonly Holder[], Map<string, readonly Holder[]>>();

/** How many of the target's slots the incarnation may use without asking. */
export function getSlotFloor(target: Target, incarnation: string, holders: readonly Holder[]): number {
	const sharers = getSharers(target.region, holders);
	const index = sharers.findIndex(holder => holder.incarnation === incarnation);
	return index === -1 ? 0 : getWholeShare(target.slots, sharers.length, getRankByName(target.name, sharers, index));
}

/** The holders of the target's slots, the largest shares first. */
export function getSlotHolders(target: Target, holders: readonly Holder[]): Holder[] {
	return rankByName(target.name, getSharers(target.region, holders));
}

function getSharers(region: string, holders: readonly Holder[]): readonly Holder[] {
	const local = getRegionHolders(region, holders);
	return local.length > 0 ? local : holders;
}

function getRegionHolders(region: string, holders: readonly Holder[]): readonly Holder[] {
	let regions = holdersByRegion.get(holders);
	if (!regions) {
		regions = new Map();
		holdersByRegion.set(holders, regions);
	}

	const known = regions.get(region) ?? holders.filter(holder => holder.region === region);
	regions.set(region, known);
	return known;
}
