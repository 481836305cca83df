/**
 * Chooses the members that poll the health of a target: two of them, so that the
 * loss of one has no effect and the target isn't polled by the whole fleet.
 */
import {rankFirstByName} from './name-rank.js';

type LocatedNode = {readonly id: string; readonly region: string};

const readersPerTarget = 2;

/** Returns the best-ranked members of the target's region, or of all regions if that one has none. */
export function getReportReaders<Member extends LocatedNode>(target: {readonly name: string; readonly region: string}, members: readonly Member[]): Member[] {
	const local = members.filter(member => member.region === target.region);
	return rankFirstByName(target.name, local.length > 0 ? local : members, readersPerTarget);
}
