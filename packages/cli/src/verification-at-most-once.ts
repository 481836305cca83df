/**
 * Randomised run: callers repeat requests blindly at several entries, which
 * are killed while a table loses, delays and refuses writes. No request runs
 * twice, and none is told as not run although this attempt ran it.
 */
import {Buffer} from 'node:buffer';
import {
	type Random, assertInvariant, createManualClock, createRandom,
} from '@catkindale/common';
import {
	type ExchangeResult, type IdempotencyGuard, type AtMostOnceRequest, createIdempotencyClaims, createIdempotencyGuard, createProblemResult, createTicketClock, createTicketSuccessors, createTicketPrefix,
} from '@catkindale/node';
import type {Row, TableOutcome, TableService} from '@catkindale/ports';
import {createTicketStore} from '@catkindale/policy';
import {registerVerification} from './verification-registry.js';

const entryCount = 3;
const keyCount = 12;
const attemptsPerKey = 5;
const longestTurns = 12;
const secret = 'secret-of-the-verified-fleet';
const customer = 'wideroe';
const neverCalled = new WeakSet<() => void>();

type Entry = {
	readonly id: string;
	readonly incarnation: string;
	readonly guard: IdempotencyGuard;
	isDead: boolean;
	/** Resolves when the entry is killed. */
	readonly death: Promise<undefined>;
	readonly kill: () => void;
};

type World = {
	readonly random: Random;
	readonly table: TableService;
	readonly entries: Entry[];
	readonly runs: Map<string, number>;
	incarnations: number;
};

/** One attempt of a caller; counts what it handed to a target itself. */
type AttemptState = {handedOver: number};

registerVerification({
	name: 'at-most-once',
	describe: 'blind repetitions at several entries with kills and table faults',
	async run(seed) {
		const random = createRandom(seed);
		const world: World = {
			random, table: createFaultyTable(random), entries: [], runs: new Map(), incarnations: 0,
		};
		for (let index = 0; index < entryCount; index++) {
			world.entries.push(startEntry(world, `entry-${index}`));
		}

		const keys = Array.from({length: keyCount}, (_, index) => createKey(world, index));
		const attempts = keys.flatMap(key => Array.from({length: attemptsPerKey}, async () => attemptOnce(world, key, seed)));
		await Promise.all([...attempts, killSome(world)]);
		for (const [key, count] of world.runs) {
			assertInvariant(count <= 1, 'a request that may not be repeated runs at most once', {seed, key, count});
		}
	},
});

function createKey({random, entries}: World, index: number): string {
	const home = entries[random.integer(0, entryCount - 1)]!;
	return random.integer(0, 1) === 0 ? `opaque-${index}` : `${createTicketPrefix(secret, {entryId: home.id, incarnation: home.incarnation, issuedAt: 0})}${index}`;
}

async function attemptOnce(world: World, key: string, seed: number): Promise<void> {
	await waitTurns(world.random, longestTurns * 3);
	const entry = world.entries[world.random.integer(0, entryCount - 1)]!;
	const state: AttemptState = {handedOver: 0};
	const result = await Promise.race([entry.guard.runAtMostOnce(createRequest(world, entry, {key, isHop: false, state})), entry.death]);
	const isNotRun = result?.kind === 'problem' && result.problem.outcome === 'not-run';
	assertInvariant(!isNotRun || state.handedOver === 0, 'a refusal that says not run is true', {seed, key});
}

type RequestParts = {readonly key: string; readonly isHop: boolean; readonly state: AttemptState};

function createRequest(world: World, entry: Entry, {key, isHop, state}: RequestParts): AtMostOnceRequest {
	return {
		key,
		customer,
		fingerprint: key,
		maximumWaitMilliseconds: 5,
		isForwarded: isHop,
		run: async () => runAtTarget(world, entry, key, state),
		async forwardToEntry(member, incarnation) {
			await waitTurns(world.random, longestTurns);
			const peer = world.entries.find(candidate => candidate.id === member && (incarnation === undefined || candidate.incarnation === incarnation));
			if (!peer || peer === entry) {
				return undefined;
			}

			const answer = await Promise.race([peer.guard.runAtMostOnce(createRequest(world, peer, {key, isHop: true, state})), peer.death]);
			return world.random.integer(0, 9) === 0 ? undefined : answer;
		},
	};
}

async function runAtTarget({random, runs}: World, entry: Entry, key: string, state: AttemptState): Promise<ExchangeResult> {
	await waitTurns(random, longestTurns);
	if (entry.isDead) {
		return forever();
	}

	const draw = random.integer(0, 9);
	if (draw < 2) {
		return createProblemResult({
			status: 503, outcome: 'not-run', reason: 'shed', detail: 'the target is full',
		});
	}

	state.handedOver += 1;
	runs.set(key, (runs.get(key) ?? 0) + 1);
	await waitTurns(random, longestTurns);
	if (entry.isDead) {
		return forever();
	}

	return draw < 4
		? createProblemResult({
			status: 502, outcome: 'unknown', reason: 'answer-lost', detail: 'the answer was lost',
		})
		: {kind: 'answered', response: {status: 200, headers: [], body: Buffer.from(key)}};
}

async function killSome(world: World): Promise<void> {
	const kills = world.random.integer(0, 3);
	for (let count = 0; count < kills; count++) {
		await waitTurns(world.random, longestTurns * 2);
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
	const death = new Promise<undefined>(resolve => {
		kill = () => {
			entry.isDead = true;
			resolve(undefined);
		};
	});
	const claims = createIdempotencyClaims({
		table: getTableOf(world.table, () => entry.isDead), node: id, incarnation, getTime: () => '', retryMilliseconds: 1,
	});
	const guard = createIdempotencyGuard({
		node: id, incarnation, secret, clock, ticketStore: createTicketStore(), claims, successors: createTicketSuccessors(clock),
	}, createTicketClock(clock));
	const entry: Entry = {
		id, incarnation, guard, isDead: false, death, kill,
	};
	return entry;
}

/** The table as one entry sees it: a killed entry calls it no more. */
function getTableOf(table: TableService, isDead: () => boolean): TableService {
	return {
		...table,
		get: async key => isDead() ? forever() : table.get(key),
		transact: async (changeId, writes) => isDead() ? forever() : table.transact(changeId, writes),
	};
}

/** Loses answers, refuses calls, and lets lost writes take effect late. */
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
			await waitTurns(random, longestTurns);
			return random.integer(0, 4) === 0 ? refuse() : {kind: 'done', value: rows.get(key)};
		},
		list: async () => refuse(),
		async transact(changeId, writes) {
			await waitTurns(random, longestTurns);
			const draw = random.integer(0, 9);
			if (draw === 0) {
				return refuse();
			}

			if (draw === 1) {
				void writeLate(random, async () => write(changeId, writes));
				return {kind: 'unknown', reason: 'late'};
			}

			const outcome = await write(changeId, writes);
			return draw < 4 ? {kind: 'unknown', reason: 'lost'} : outcome;
		},
		close: async () => undefined,
	};
}

async function writeLate(random: Random, write: () => Promise<unknown>): Promise<void> {
	await waitTurns(random, longestTurns * 4);
	await write();
}

async function waitTurns(random: Random, most: number): Promise<void> {
	const turns = random.integer(0, most);
	for (let turn = 0; turn < turns; turn++) {
		await Promise.resolve();
	}
}

/** What a killed process never answers. */
async function forever(): Promise<never> {
	return new Promise((_resolve, reject) => {
		neverCalled.add(reject);
	});
}
