import {describe, expect, test} from 'vitest';
import {
	type Attestation, type QuorumMember, createFreshnessState, getAttestedAge, isFleetFormed,
} from '@catkindale/policy';

const now = 10_000;
const attestedAge = 400;
const own: QuorumMember = {id: 'oslo-1', region: 'oslo'};
const others: QuorumMember[] = [{id: 'oslo-2', region: 'oslo'}, {id: 'bergen-1', region: 'bergen'}, {id: 'tromso-1', region: 'tromso'}];

function attest(ids: readonly string[]): Map<string, Attestation> {
	return new Map(ids.map(id => [id, {
		sentAt: now - attestedAge, version: 1, tableAgeMilliseconds: Number.POSITIVE_INFINITY, isEstablished: true,
	}]));
}

describe('without the table, the state is attested', () => {
	test.each<[string, readonly QuorumMember[], readonly string[], number]>([
		['not for a node whose only member is itself', [own], [], Number.POSITIVE_INFINITY],
		['not for a node without members', [], [], Number.POSITIVE_INFINITY],
		['by both of two members', [own, others[0]!], ['oslo-2'], attestedAge],
		['not by one of two members', [own, others[0]!], [], Number.POSITIVE_INFINITY],
		['by a majority of regions', [own, ...others], ['oslo-2', 'tromso-1'], attestedAge],
		['not by a minority of the own region', [own, ...others], ['tromso-1'], Number.POSITIVE_INFINITY],
	])('%s', (_name, members, attesting, expected) => {
		const knowledge = {
			...createFreshnessState(own.id), version: 1, isEstablished: true, members, attestations: attest(attesting),
		};
		expect(getAttestedAge(knowledge, now)).toBe(expected);
	});
});

describe('a fleet is formed', () => {
	test.each<[number, number, boolean]>([
		[1, 0, true],
		[1, 1, true],
		[1, 2, false],
		[2, 3, true],
		[6, 12, false],
		[7, 12, true],
		[0, 0, false],
	])('by %i members of %i listed VMs: %s', (members, listed, expected) => {
		expect(isFleetFormed(members, listed)).toBe(expected);
	});
});
