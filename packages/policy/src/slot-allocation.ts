/**
 * The floor shares of a target's slots: whole slots go to the ranked holders
 * of the target's own region, or of the fleet when that region has none.
 */
import type {Target} from './configuration.js';
import {divideEvenly} from './token-allocation.js';
import type {QuotaMember} from './ledger.js';
import {getRankByName, rankByName} from './name-rank.js';

const holdersByRegion = new WeakMap<readonly QuotaMember[], Map<string, readonly QuotaMember[]>>();

/** How many of the target's slots the incarnation may use without asking. */
export function getSlotAllocation(target: Target, incarnation: string, holders: readonly QuotaMember[]): number {
	const sharers = getSharers(target.region, holders);
	const index = sharers.findIndex(holder => holder.incarnation === incarnation);
	return index === -1 ? 0 : divideEvenly(target.slots, sharers.length, getRankByName(target.name, sharers, index));
}

/** The holders of the target's slots, the largest shares first. */
export function getSlotMembers(target: Target, holders: readonly QuotaMember[]): QuotaMember[] {
	return rankByName(target.name, getSharers(target.region, holders));
}

function getSharers(region: string, holders: readonly QuotaMember[]): readonly QuotaMember[] {
	const local = getRegionHolders(region, holders);
	return local.length > 0 ? local : holders;
}

function getRegionHolders(region: string, holders: readonly QuotaMember[]): readonly QuotaMember[] {
	let regions = holdersByRegion.get(holders);
	if (!regions) {
		regions = new Map();
		holdersByRegion.set(holders, regions);
	}

	const known = regions.get(region) ?? holders.filter(holder => holder.region === region);
	regions.set(region, known);
	return known;
}
