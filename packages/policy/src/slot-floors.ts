/**
 * The floor shares of a target's slots: whole slots go to the ranked members
 * of the target's own region, or of the fleet when that region has none.
 */
import {rankMembers} from '@catkindale/common';
import type {Target} from './configuration.js';
import type {Member} from './member.js';

/** How many of the target's slots the member may use without asking. */
export function getSlotFloor(target: Target, memberId: string, members: readonly Member[]): number {
	const local = members.filter(member => member.region === target.region);
	const ranked = rankMembers(target.name, local.length > 0 ? local : members);
	const rank = ranked.findIndex(member => member.id === memberId);
	if (rank === -1) {
		return 0;
	}

	const base = Math.floor(target.slots / ranked.length);
	const remainder = target.slots % ranked.length;
	return base + (rank < remainder ? 1 : 0);
}
