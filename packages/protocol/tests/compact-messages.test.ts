import {describe, expect, test} from 'vitest';
import {
	type PeerMessage, createFrameReader, encodeMessage, parsePeerMessage,
} from '@catkindale/protocol';

const incarnation = '6f9619ff-8b86-4d01-b42d-00cf4fc964ff';
const heartbeat: PeerMessage = {
	type: 'heartbeat', sequence: 4_000_000, echo: 3_999_999, configurationVersion: 4000, tableAgeMilliseconds: 313, isEstablished: true, isServing: false,
};
const report: PeerMessage = {
	type: 'ledger-report', incarnation, epoch: 4000, version: 4000, overhang: [], sentAt: 123_456_789, echoedAt: 123_456_700, echoedIncarnation: incarnation,
};

/** Number of nodes in the current fleet. */
const fleetSize = 12;
const messagesPerSecond = 2;
const maximumBytesPerSecond = 4000;

function receive(frame: Uint8Array): unknown {
	let received: unknown;
	createFrameReader().push(frame, data => {
		const parsed = parsePeerMessage(data);
		received = parsed.ok ? parsed.value : undefined;
	});
	return received;
}

describe('a message between nodes', () => {
	test.each<[string, PeerMessage]>([
		['heartbeat', heartbeat],
		['heartbeat before the table was read or a peer message received', {
			type: 'heartbeat', sequence: 1, configurationVersion: 0, isEstablished: false, isServing: false,
		}],
		['ledger report', report],
		['ledger report without an echo, with an over-allocated target', {
			type: 'ledger-report', incarnation, epoch: 1, version: 0, overhang: ['pricing-1', incarnation], sentAt: 0,
		}],
		['ledger report of a renewed incarnation', {...report, incarnation: `${incarnation}~2`, echoedIncarnation: `${incarnation}~31`}],
		['message without a compact form', {type: 'ticket-heir', incarnation, heir: 'node-1'}],
	])('decodes to the message that was encoded: %s', (_name, message) => {
		expect(receive(encodeMessage(message))).toEqual(message);
	});

	test.each<[string, unknown]>([
		['an unknown code', [99, 1, 2]],
		['a code that isn\'t a number', ['heartbeat', 1]],
		['a negative code', [-1]],
		['too few fields', [0, 1]],
		['too many fields', [0, 1, 1, 1, 1, true, true, 1]],
		['a field of another type', [0, '1', 1, 1, 1, true, true]],
		['an empty array', []],
	])('is refused with %s', (_name, data) => {
		expect(parsePeerMessage(data).ok).toBe(false);
	});

	test('keeps the continuous traffic of twelve nodes within the limit', () => {
		const bytes = encodeMessage(heartbeat).length + encodeMessage(report).length;
		expect(bytes * messagesPerSecond * (fleetSize - 1)).toBeLessThan(maximumBytesPerSecond);
	});
});
