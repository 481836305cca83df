/** When lists of members are requested: a few for each node, however many nodes start at the same time. */
import {describe, expect, it} from 'vitest';
import {createMemberExchange} from '@catkindale/policy';

type Step
	= | {readonly kind: 'report'; readonly peer: string; readonly digest: string}
		| {readonly kind: 'list'; readonly peer: string; readonly ownDigest: string}
		| {readonly kind: 'gone'; readonly peer: string}
		| {readonly kind: 'choose'; readonly at: number; readonly ownDigest: string; readonly chosen: string | undefined};

const cases: ReadonlyArray<{readonly name: string; readonly steps: readonly Step[]}> = [
	{
		name: 'a node that has just started requests the list of its first peer at once',
		steps: [{kind: 'report', peer: 'a', digest: 'all'}, {
			kind: 'choose', at: 0, ownDigest: 'own', chosen: 'a',
		}],
	},
	{
		name: 'a node whose digest is the peer\'s requests nothing',
		steps: [{kind: 'report', peer: 'a', digest: 'all'}, {
			kind: 'choose', at: 0, ownDigest: 'all', chosen: undefined,
		}],
	},
	{
		name: 'an unanswered request is repeated after a second, not sooner',
		steps: [
			{kind: 'report', peer: 'a', digest: 'all'},
			{
				kind: 'choose', at: 0, ownDigest: 'own', chosen: 'a',
			},
			{
				kind: 'choose', at: 900, ownDigest: 'own', chosen: undefined,
			},
			{
				kind: 'choose', at: 1000, ownDigest: 'own', chosen: 'a',
			},
		],
	},
	{
		name: 'while the own list still grows, a difference isn\'t worth a request',
		steps: [
			{kind: 'report', peer: 'a', digest: 'all'},
			{
				kind: 'choose', at: 0, ownDigest: 'own', chosen: 'a',
			},
			{kind: 'list', peer: 'a', ownDigest: 'more'},
			{kind: 'report', peer: 'a', digest: 'most'},
			{kind: 'report', peer: 'b', digest: 'other'},
			{
				kind: 'choose', at: 1000, ownDigest: 'more', chosen: undefined,
			},
			{
				kind: 'choose', at: 1400, ownDigest: 'most', chosen: undefined,
			},
			{
				kind: 'choose', at: 1900, ownDigest: 'most', chosen: 'b',
			},
		],
	},
	{
		name: 'a peer that has forgotten a gateway isn\'t asked again for the same list',
		steps: [
			{kind: 'report', peer: 'a', digest: 'less'},
			{
				kind: 'choose', at: 0, ownDigest: 'own', chosen: 'a',
			},
			{kind: 'list', peer: 'a', ownDigest: 'own'},
			{
				kind: 'choose', at: 5000, ownDigest: 'own', chosen: undefined,
			},
			{kind: 'report', peer: 'a', digest: 'news'},
			{
				kind: 'choose', at: 6000, ownDigest: 'own', chosen: 'a',
			},
		],
	},
	{
		name: 'a peer that is gone isn\'t asked',
		steps: [{kind: 'report', peer: 'a', digest: 'all'}, {kind: 'gone', peer: 'a'}, {
			kind: 'choose', at: 0, ownDigest: 'own', chosen: undefined,
		}],
	},
];

describe('the exchange of lists of members', () => {
	it.each(cases)('$name', ({steps}) => {
		const exchange = createMemberExchange(() => 0);
		for (const step of steps) {
			switch (step.kind) {
				case 'report': {
					exchange.recordDigest(step.peer, step.digest);
					break;
				}

				case 'list': {
					exchange.recordList(step.peer, step.ownDigest);
					break;
				}

				case 'gone': {
					exchange.removePeer(step.peer);
					break;
				}

				case 'choose': {
					expect(exchange.choosePeer(step.ownDigest, step.at)).toBe(step.chosen);
					break;
				}
			}
		}
	});
});
