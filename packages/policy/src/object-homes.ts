/**
 * Which targets the objects of a service belong to. The targets have an order for
 * each object, by rendezvous hashing, and each target has an order of objects, so
 * that all gateways of a region send an object to the same targets, and agree on
 * the objects that a target has no room for.
 *
 * A choice looks at every target of the service, so names are hashed once, and a
 * pair of an object and a target costs a few integer operations (see `name-rank`).
 */
import {hashName, mixHashes} from './name-rank.js';
import type {TrafficTarget} from './traffic-configuration.js';

/** Hashes of an object's key; an object's order of targets mustn't depend on its place in their orders. */
export type ObjectHashes = {readonly forRank: number; readonly forPosition: number};

export type HashedTarget = {
	readonly registration: Pick<TrafficTarget, 'id' | 'region'>;
	/** Hash of the target's identifier, see `hashName`. */
	readonly nameHash: number;
};

const hashRange = 2 ** 32;

export function hashObject(objectKey: string): ObjectHashes {
	return {forRank: hashName(objectKey), forPosition: hashName(`position\n${objectKey}`)};
}

/** Returns the position of the object in the order of objects that the name has, from 0 to below 1. */
export function getObjectPosition(objectKey: string, name: string): number {
	return getHashedPosition(hashObject(objectKey), hashName(name));
}

/** Returns what `getObjectPosition` does, for the hash of a name. */
export function getHashedPosition({forPosition}: ObjectHashes, nameHash: number): number {
	return mixHashes(forPosition, nameHash) / hashRange;
}

/** Returns the ranks of the first targets for the object, by identifier: the first `count` of the local region, and of all others together. */
export function findObjectHomes({forRank}: ObjectHashes, targets: readonly HashedTarget[], localRegion: string, count: number): ReadonlyMap<string, number> {
	const local: ScoredTarget[] = [];
	const remote: ScoredTarget[] = [];
	for (const {registration: {id, region}, nameHash} of targets) {
		insertTarget(region === localRegion ? local : remote, {id, score: mixHashes(forRank, nameHash)}, count);
	}

	return new Map([...local.entries(), ...remote.entries()].map(([rank, {id}]) => [id, rank]));
}

type ScoredTarget = {readonly id: string; readonly score: number};

/** Keeps the best targets, best first. */
function insertTarget(best: ScoredTarget[], target: ScoredTarget, count: number): void {
	const last = best.at(-1);
	if (last && best.length >= count && !isBefore(target, last)) {
		return;
	}

	const position = best.findIndex(other => isBefore(target, other));
	best.splice(position === -1 ? best.length : position, 0, target);
	best.length = Math.min(best.length, count);
}

function isBefore(left: ScoredTarget, right: ScoredTarget): boolean {
	return left.score === right.score ? left.id < right.id : left.score > right.score;
}
