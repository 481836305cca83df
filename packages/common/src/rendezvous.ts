/**
 * Rendezvous (highest random weight) hashing: every node ranks the same
 * members in the same order for a key, without communication.
 *
 * Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
 * rates", IEEE/ACM Transactions on Networking 6(1), 1998.
 */
import {createHash} from 'node:crypto';

/** Returns the members in order of preference for the key. */
export function rankMembers<Member extends {readonly id: string}>(key: string, members: readonly Member[]): Member[] {
	const scored = members.map(member => ({member, score: getScore(key, member.id)}));
	scored.sort((left, right) => compareText(right.score, left.score) || compareText(left.member.id, right.member.id));
	return scored.map(scoredMember => scoredMember.member);
}

function getScore(key: string, memberId: string): string {
	return createHash('sha1').update(`${key}\n${memberId}`).digest('hex');
}

function compareText(left: string, right: string): number {
	if (left === right) {
		return 0;
	}

	return left < right ? -1 : 1;
}
