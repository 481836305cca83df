/**
 * Cheap rendezvous ranking for decisions that are taken for every customer
 * and target at each epoch. The names are hashed once; a pair costs a few
 * integer operations.
 *
 * Sources: Thaler and Ravishankar (see `rankMembers`); Fowler, Noll and Vo,
 * FNV-1a; Appleby, the finalizer of MurmurHash3.
 */

const fnvOffset = 0x81_1C_9D_C5;
const fnvPrime = 0x01_00_01_93;
const goldenRatio = 0x9E_37_79_B1;

/** A hash of 32 bits. */
export function hashName(name: string): number {
	let hash = fnvOffset;
	for (let index = 0; index < name.length; index++) {
		// Names are compared within one program version only; UTF-16 units will do.
		// eslint-disable-next-line unicorn/prefer-code-point, no-bitwise
		hash = Math.imul(hash ^ name.charCodeAt(index), fnvPrime);
	}

	return hash;
}

const hashesOfMembers = new WeakMap<ReadonlyArray<{readonly id: string}>, readonly number[]>();

/** The members in the order in which they are preferred for the name. The same array should be passed for an epoch. */
export function rankByName<Member extends {readonly id: string}>(name: string, members: readonly Member[]): Member[] {
	const hashes = getMemberHashes(members);
	const nameHash = hashName(name);
	const scores = hashes.map(hash => combine(nameHash, hash));
	const order = members.map((_, index) => index);
	order.sort((left, right) => (scores[right]! - scores[left]!) || (members[left]!.id < members[right]!.id ? -1 : 1));
	return order.map(index => members[index]!);
}

/** The first members of {@link rankByName} in one pass, for look-ups among many. */
export function rankFirstByName<Member extends {readonly id: string}>(name: string, members: readonly Member[], count: number): Member[] {
	const hashes = getMemberHashes(members);
	const nameHash = hashName(name);
	const best: Array<{readonly member: Member; readonly score: number}> = [];
	for (const [index, member] of members.entries()) {
		const score = combine(nameHash, hashes[index]!);
		const last = best.at(-1);
		if (last && best.length >= count && !isRankedBefore({member, score}, last)) {
			continue;
		}

		const position = best.findIndex(other => isRankedBefore({member, score}, other));
		best.splice(position === -1 ? best.length : position, 0, {member, score});
		best.length = Math.min(best.length, count);
	}

	return best.map(({member}) => member);
}

/** The best-ranked member that is wanted. */
export function findBestByName<Member extends {readonly id: string}>(name: string, members: readonly Member[], isWanted: (member: Member) => boolean): Member | undefined {
	const hashes = getMemberHashes(members);
	const nameHash = hashName(name);
	let best: {readonly member: Member; readonly score: number} | undefined;
	for (const [index, member] of members.entries()) {
		const candidate = {member, score: combine(nameHash, hashes[index]!)};
		if (isWanted(member) && (!best || isRankedBefore(candidate, best))) {
			best = candidate;
		}
	}

	return best?.member;
}

/** How many members are preferred to the one at the index. */
export function getRankByName(name: string, members: ReadonlyArray<{readonly id: string}>, index: number): number {
	const hashes = getMemberHashes(members);
	const nameHash = hashName(name);
	const own = {member: members[index]!, score: combine(nameHash, hashes[index]!)};
	let rank = 0;
	for (const [other, member] of members.entries()) {
		rank += isRankedBefore({member, score: combine(nameHash, hashes[other]!)}, own) ? 1 : 0;
	}

	return rank;
}

type Scored = {readonly member: {readonly id: string}; readonly score: number};

function isRankedBefore(left: Scored, right: Scored): boolean {
	return left.score === right.score ? left.member.id < right.member.id : left.score > right.score;
}

function getMemberHashes(members: ReadonlyArray<{readonly id: string}>): readonly number[] {
	const known = hashesOfMembers.get(members) ?? members.map(member => hashName(member.id));
	hashesOfMembers.set(members, known);
	return known;
}

/* eslint-disable no-bitwise */
function combine(nameHash: number, memberHash: number): number {
	let mixed = nameHash ^ Math.imul(memberHash, goldenRatio);
	mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85_EB_CA_6B);
	mixed = Math.imul(mixed ^ (mixed >>> 13), 0xC2_B2_AE_35);
	return (mixed ^ (mixed >>> 16)) >>> 0;
}
/* eslint-enable no-bitwise */
