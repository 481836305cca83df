/**
 * Fast rendezvous hashing for decisions that are made for every customer and
 * target in each epoch. Each name is hashed once; a pair of names costs a few
 * integer operations.
 *
 * Sources: Thaler and Ravishankar (see `rankMembers`); Fowler, Noll and Vo,
 * FNV-1a; Appleby, the finalizer of MurmurHash3.
 */

const fnvOffset = 0x81_1C_9D_C5;
const fnvPrime = 0x01_00_01_93;
const goldenRatio = 0x9E_37_79_B1;

/** Returns a 32-bit hash of the name. */
export function hashName(name: string): number {
	let hash = fnvOffset;
	for (let index = 0; index < name.length; index++) {
		// Hashes are compared only between nodes of the same program version, so UTF-16 code units suffice.
		// eslint-disable-next-line unicorn/prefer-code-point, no-bitwise
		hash = Math.imul(hash ^ name.charCodeAt(index), fnvPrime);
	}

	return hash;
}

const memberHashes = new WeakMap<ReadonlyArray<{readonly id: string}>, readonly number[]>();

/** Returns the members by descending score for the name. Their hashes are cached per array, so pass the same array throughout an epoch. */
export function rankByName<Member extends {readonly id: string}>(name: string, members: readonly Member[]): Member[] {
	const hashes = getMemberHashes(members);
	const nameHash = hashName(name);
	const scores = hashes.map(hash => mixHashes(nameHash, hash));
	const order = members.map((_, index) => index);
	order.sort((left, right) => (scores[right]! - scores[left]!) || (members[left]!.id < members[right]!.id ? -1 : 1));
	return order.map(index => members[index]!);
}

/** Returns the first `count` members of {@link rankByName} in one pass, for lookups among many members. */
export function rankFirstByName<Member extends {readonly id: string}>(name: string, members: readonly Member[], count: number): Member[] {
	const hashes = getMemberHashes(members);
	const nameHash = hashName(name);
	const best: Array<{readonly member: Member; readonly score: number}> = [];
	for (const [index, member] of members.entries()) {
		const score = mixHashes(nameHash, hashes[index]!);
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

/** Returns the best-ranked eligible member. */
export function findBestByName<Member extends {readonly id: string}>(name: string, members: readonly Member[], isEligible: (member: Member) => boolean): Member | undefined {
	const hashes = getMemberHashes(members);
	const nameHash = hashName(name);
	let best: {readonly member: Member; readonly score: number} | undefined;
	for (const [index, member] of members.entries()) {
		const candidate = {member, score: mixHashes(nameHash, hashes[index]!)};
		if (isEligible(member) && (!best || isRankedBefore(candidate, best))) {
			best = candidate;
		}
	}

	return best?.member;
}

/** Returns the rank of the member at the index: the number of members before it. */
export function getRankByName(name: string, members: ReadonlyArray<{readonly id: string}>, index: number): number {
	const hashes = getMemberHashes(members);
	const nameHash = hashName(name);
	const own = {member: members[index]!, score: mixHashes(nameHash, hashes[index]!)};
	let rank = 0;
	for (const [other, member] of members.entries()) {
		rank += isRankedBefore({member, score: mixHashes(nameHash, hashes[other]!)}, own) ? 1 : 0;
	}

	return rank;
}

type Scored = {readonly member: {readonly id: string}; readonly score: number};

function isRankedBefore(left: Scored, right: Scored): boolean {
	return left.score === right.score ? left.member.id < right.member.id : left.score > right.score;
}

function getMemberHashes(members: ReadonlyArray<{readonly id: string}>): readonly number[] {
	const hashes = memberHashes.get(members) ?? members.map(member => hashName(member.id));
	memberHashes.set(members, hashes);
	return hashes;
}

/* eslint-disable no-bitwise */
/** Returns the score of a member for a name, from 0 to below 2 ** 32, from their hashes. */
export function mixHashes(nameHash: number, memberHash: number): number {
	let mixed = nameHash ^ Math.imul(memberHash, goldenRatio);
	mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85_EB_CA_6B);
	mixed = Math.imul(mixed ^ (mixed >>> 13), 0xC2_B2_AE_35);
	return (mixed ^ (mixed >>> 16)) >>> 0;
}
/* eslint-enable no-bitwise */
