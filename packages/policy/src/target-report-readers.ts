/**
 * Which members ask a target for its health. Two of them do, so that the loss
 * of one changes nothing and the target isn't asked by the whole fleet.
 */
import {rankFirstByName} from './name-rank.js';

type Place = {readonly id: string; readonly region: string};

const readersPerTarget = 2;

/** The best-ranked members of the target's own region, or of all where that has none. */
export function getReportReaders<Member extends Place>(target: {readonly name: string; readonly region: string}, members: readonly Member[]): Member[] {
	const local = members.filter(member => member.region === target.region);
	return rankFirstByName(target.name, local.length > 0 ? local : members, readersPerTarget);
}
