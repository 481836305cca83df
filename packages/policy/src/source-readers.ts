/**
 * Chooses the gateways that follow the store on behalf of the others, so that
 * the calls to the store don't grow with the fleet. The others receive changes
 * from them.
 *
 * Every gateway ranks the gateways of a region in the same order (rendezvous
 * hashing), so that no message is needed to agree on the readers. Gateways whose
 * views differ for a moment choose more readers than necessary, never fewer
 * than one that each of them hears from.
 */
import {rankMembers} from '@catkindale/common';

export type SourceCandidate = {
	readonly id: string;
	readonly region: string;
	/** Whether the gateway's calls to the store fail at present. */
	readonly isFailing: boolean;
};

/** A second reader, so that a change isn't late while the failure of the first one is being detected. */
const readersPerRegion = 2;

/**
 * Returns the identifiers of the readers of all regions. A reader whose calls
 * fail remains one, so that it notices when the store is back, and the gateway
 * ranked next reads too.
 */
export function chooseSourceReaders(candidates: readonly SourceCandidate[]): string[] {
	const byRegion = new Map<string, SourceCandidate[]>();
	for (const candidate of candidates) {
		byRegion.set(candidate.region, [...byRegion.get(candidate.region) ?? [], candidate]);
	}

	return [...byRegion].flatMap(([region, members]) => chooseRegionReaders(region, members));
}

function chooseRegionReaders(region: string, members: readonly SourceCandidate[]): string[] {
	const readers: string[] = [];
	let workingReaders = 0;
	for (const {id, isFailing} of rankMembers(`source of ${region}`, members)) {
		if (workingReaders === readersPerRegion) {
			break;
		}

		readers.push(id);
		workingReaders += Number(!isFailing);
	}

	return readers;
}
