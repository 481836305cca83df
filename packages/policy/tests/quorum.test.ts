import {describe, expect, test} from 'vitest';
import {
	type Attestation, type QuorumMember, createFreshnessState, getAttestedAge, getStateAge, isFleetFormed,
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

describe('the age of the state of a node that', () => {
	const readAgo = 300;
	const relayed = new Map([['tromso-1', {
		sentAt: now - attestedAge, version: 1, tableAgeMilliseconds: readAgo, isEstablished: true,
	}]]);

	// Guards against a restarted node that took an older version, while the table was down, from a peer that was cut off when the newer one was accepted.
	test.each([
		{
			name: 'has been current: a peer\'s read of the table counts', isEstablished: true, tableReadAt: Number.NEGATIVE_INFINITY, attestations: relayed, age: attestedAge + readAgo,
		},
		{
			name: 'just started: a peer\'s read doesn\'t count', isEstablished: false, tableReadAt: Number.NEGATIVE_INFINITY, attestations: relayed, age: Number.POSITIVE_INFINITY,
		},
		{
			name: 'just started: its own read counts', isEstablished: false, tableReadAt: now - readAgo, attestations: relayed, age: readAgo,
		},
		{
			name: 'just started: a quorum of others counts', isEstablished: false, tableReadAt: Number.NEGATIVE_INFINITY, attestations: attest(['oslo-2', 'bergen-1', 'tromso-1']), age: attestedAge,
		},
	])('$name', ({isEstablished, tableReadAt, attestations, age}) => {
		const state = {
			...createFreshnessState(own.id), version: 1, isEstablished, tableReadAt, members: [own, ...others], attestations,
		};
		expect(getStateAge(state, now)).toBe(age);
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
