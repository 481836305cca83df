/**
 * Randomised verification of at-most-once execution: callers retry requests
 * with the same key at several entries. Entries are killed, and the table
 * loses responses and delays or refuses writes. No request runs twice, and an
 * attempt that reached a target is never reported as not run.
 */
import {Buffer} from 'node:buffer';
import {
	type Random, assertInvariant, createManualClock, createRandom,
} from '@catkindale/common';
import {
	type ExchangeResult, type IdempotencyGuard, type AtMostOnceRequest,
	createIdempotencyClaims, createIdempotencyGuard, createProblemResult, createTicketClock, createTicketSuccessors, createTicketPrefix,
} from '@catkindale/node';
import type {Row, TableOutcome, TableService} from '@catkindale/ports';
import {createTicketStore} from '@catkindale/policy';
import {registerVerification} from './verification-registry.js';

const entryCount = 3;
const keyCount = 12;
const attemptsPerKey = 5;
const maximumTurns = 12;
const secret = 'secret-of-the-verified-fleet';
const customer = 'wideroe';
const unusedRejects = new WeakSet<() => void>();

type Entry = {
	readonly id: string;
	readonly incarnation: string;
	readonly guard: IdempotencyGuard;
	isKilled: boolean;
	/** Resolves once the entry is killed. */
	readonly whenKilled: Promise<undefined>;
	readonly kill: () => void;
};

type World = {
	readonly random: Random;
	readonly table: TableService;
	readonly entries: Entry[];
	readonly runCounts: Map<string, number>;
	incarnations: number;
};

/** One attempt of a caller, with the number of times that this attempt sent the request to a target. */
type AttemptState = {sentToTarget: number};

registerVerification({
	name: 'at-most-once',
	describe: 'retries of the same requests at several entries under kills and table faults',
	async run(seed) {
		const random = createRandom(seed);
		const world: World = {
			random, table: createFaultyTable(random), entries: [], runCounts: new Map(), incarnations: 0,
		};
		for (let index = 0; index < entryCount; index++) {
			world.entries.push(startEntry(world, `entry-${index}`));
		}

		const keys = Array.from({length: keyCount}, (_, index) => createKey(world, index));
		const attempts = keys.flatMap(key => Array.from({length: attemptsPerKey}, async () => sendAttempt(world, key, seed)));
		await Promise.all([...attempts, killRandomEntries(world)]);
		for (const [key, count] of world.runCounts) {
			assertInvariant(count <= 1, 'a request with an idempotency key runs at most once', {seed, key, count});
		}
	},
});

function createKey({random, entries}: World, index: number): string {
	const issuer = entries[random.integer(0, entryCount - 1)]!;
	return random.integer(0, 1) === 0 ? `opaque-${index}` : `${createTicketPrefix(secret, {entryId: issuer.id, incarnation: issuer.incarnation, issuedAt: 0})}${index}`;
}

async function sendAttempt(world: World, key: string, seed: number): Promise<void> {
	await waitTurns(world.random, maximumTurns * 3);
	const entry = world.entries[world.random.integer(0, entryCount - 1)]!;
	const state: AttemptState = {sentToTarget: 0};
	const result = await Promise.race([entry.guard.runAtMostOnce(createRequest(world, entry, {key, isForwarded: false, state})), entry.whenKilled]);
	const isNotRun = result?.kind === 'problem' && result.problem.outcome === 'not-run';
	assertInvariant(!isNotRun || state.sentToTarget === 0, 'an attempt reported as not run did not reach a target', {seed, key});
}

type AttemptOptions = {readonly key: string; readonly isForwarded: boolean; readonly state: AttemptState};

function createRequest(world: World, entry: Entry, {key, isForwarded, state}: AttemptOptions): AtMostOnceRequest {
	return {
		key,
		customer,
		fingerprint: key,
		maximumWaitMilliseconds: 5,
		isForwarded,
		run: async () => runAtTarget(world, entry, key, state),
		async forwardToEntry(member, incarnation) {
			await waitTurns(world.random, maximumTurns);
			const peer = world.entries.find(candidate => candidate.id === member && (incarnation === undefined || candidate.incarnation === incarnation));
			if (!peer || peer === entry) {
				return undefined;
			}

			const response = await Promise.race([peer.guard.runAtMostOnce(createRequest(world, peer, {key, isForwarded: true, state})), peer.whenKilled]);
			return world.random.integer(0, 9) === 0 ? undefined : response;
		},
	};
}

async function runAtTarget({random, runCounts}: World, entry: Entry, key: string, state: AttemptState): Promise<ExchangeResult> {
	await waitTurns(random, maximumTurns);
	if (entry.isKilled) {
		return waitForever();
	}

	const draw = random.integer(0, 9);
	if (draw < 2) {
		return createProblemResult({
			status: 503, outcome: 'not-run', reason: 'shed', detail: 'the target is full',
		});
	}

	state.sentToTarget += 1;
	runCounts.set(key, (runCounts.get(key) ?? 0) + 1);
	await waitTurns(random, maximumTurns);
	if (entry.isKilled) {
		return waitForever();
	}

	return draw < 4
		? createProblemResult({
			status: 502, outcome: 'unknown', reason: 'answer-lost', detail: 'the answer was lost',
		})
		: {kind: 'answered', response: {status: 200, headers: [], body: Buffer.from(key)}};
}

async function killRandomEntries(world: World): Promise<void> {
	const kills = world.random.integer(0, 3);
	for (let count = 0; count < kills; count++) {
		await waitTurns(world.random, maximumTurns * 2);
		const index = world.random.integer(0, entryCount - 1);
		const victim = world.entries[index]!;
		victim.kill();
		world.entries[index] = startEntry(world, victim.id);
	}
}

function startEntry(world: World, id: string): Entry {
	world.incarnations += 1;
	const incarnation = `incarnation-${world.incarnations}`;
	const clock = createManualClock();
	let kill: () => void = () => undefined;
	const whenKilled = new Promise<undefined>(resolve => {
		kill = () => {
			entry.isKilled = true;
			resolve(undefined);
		};
	});
	const claims = createIdempotencyClaims({
		table: createTableForEntry(world.table, () => entry.isKilled), node: id, incarnation, getTime: () => '', retryMilliseconds: 1,
	});
	const guard = createIdempotencyGuard({
		node: id, incarnation, secret, clock, ticketStore: createTicketStore(), claims, successors: createTicketSuccessors(clock),
	}, createTicketClock(clock));
	const entry: Entry = {
		id, incarnation, guard, isKilled: false, whenKilled, kill,
	};
	return entry;
}

/** Creates the table client of one entry; calls of a killed entry never complete. */
function createTableForEntry(table: TableService, isKilled: () => boolean): TableService {
	return {
		...table,
		get: async key => isKilled() ? waitForever() : table.get(key),
		transact: async (changeId, writes) => isKilled() ? waitForever() : table.transact(changeId, writes),
	};
}

/** Creates a table that loses responses, refuses calls, and applies some writes after it reported their outcome as unknown. */
function createFaultyTable(random: Random): TableService {
	const rows = new Map<string, Row>();
	const write: TableService['transact'] = async (changeId, [change]) => {
		const {key, expectedVersion, value} = change!;
		const row = rows.get(key);
		if ((row?.version ?? 0) !== expectedVersion) {
			return {kind: 'conflict', rows: row ? [row] : []};
		}

		const next = {
			key, version: expectedVersion + 1, changeId, value,
		};
		rows.set(key, next);
		return {kind: 'done', value: [next]};
	};

	const refuse = <Value>(): TableOutcome<Value> => ({kind: 'not-done', reason: 'outage'});
	return {
		async get(key) {
			await waitTurns(random, maximumTurns);
			return random.integer(0, 4) === 0 ? refuse() : {kind: 'done', value: rows.get(key)};
		},
		list: async () => refuse(),
		async transact(changeId, writes) {
			await waitTurns(random, maximumTurns);
			const draw = random.integer(0, 9);
			if (draw === 0) {
				return refuse();
			}

			if (draw === 1) {
				void applyWriteLate(random, async () => write(changeId, writes));
				return {kind: 'unknown', reason: 'late'};
			}

			const outcome = await write(changeId, writes);
			return draw < 4 ? {kind: 'unknown', reason: 'lost'} : outcome;
		},
		close: async () => undefined,
	};
}

async function applyWriteLate(random: Random, write: () => Promise<unknown>): Promise<void> {
	await waitTurns(random, maximumTurns * 4);
	await write();
}

async function waitTurns(random: Random, limit: number): Promise<void> {
	const turns = random.integer(0, limit);
	for (let turn = 0; turn < turns; turn++) {
		await Promise.resolve();
	}
}

/** Returns a promise that never settles, like a response from a killed process. */
async function waitForever(): Promise<never> {
	return new Promise((_resolve, reject) => {
		unusedRejects.add(reject);
	});
}
