/**
 * Claims opaque idempotency keys by rows of the platform's table. A row moves
 * from claimed to finished, or to released if the request provably never ran.
 * Rows are never deleted: their versions only increase, so that a delayed
 * write can't overwrite a newer claim.
 */
import {Buffer} from 'node:buffer';
import * as z from 'zod';
import {
	createIdentifier, hashText, maximumStatus, minimumFinalStatus,
} from '@catkindale/common';
import type {Row, TableService} from '@catkindale/ports';
import type {TicketOutcome} from '@catkindale/policy';

const claimSchema = z.object({
	state: z.enum(['claimed', 'finished', 'released']),
	fingerprint: z.string(),
	node: z.string(),
	incarnation: z.string(),
	claimedAt: z.string(),
	outcome: z.enum(['ran', 'unknown']).optional(),
	/** Undefined also if HTTP doesn't know the status: the request ran, but its response can't be repeated. */
	status: z.union([z.int().min(minimumFinalStatus).max(maximumStatus), z.unknown().transform(() => undefined)]).optional(),
	headers: z.array(z.string()).optional(),
	/** Base64; omitted if the body is too large for a row. */
	body: z.string().optional(),
});

export type ClaimValue = z.infer<typeof claimSchema>;

/** A claim that this node has written. */
export type HeldClaim = {readonly key: string; readonly version: number; readonly changeId: string; readonly value: ClaimValue};

export type ClaimResult
	= | {readonly kind: 'claimed'; readonly claim: HeldClaim}
	/** Another attempt holds the key or has finished. */
		| {readonly kind: 'existing'; readonly value: ClaimValue}
	/** It is uncertain whether the key was claimed; the request must not run. */
		| {readonly kind: 'unavailable'};

export type IdempotencyClaims = {
	claim: (customer: string, key: string, fingerprint: string) => Promise<ClaimResult>;
	/** Records the outcome and retries until it is written. Resolves with whether it was. */
	finish: (claim: HeldClaim, outcome: TicketOutcome) => Promise<boolean>;
	/** Releases the claim. Resolves after the first attempt; retries continue in the background. */
	release: (claim: HeldClaim) => Promise<void>;
	/** Waits for pending writes and stops their retries. */
	stop: () => Promise<void>;
};

export type IdempotencyClaimsOptions = {
	readonly table: TableService;
	readonly node: string;
	readonly incarnation: string;
	/** Returns the ISO 8601 time stored in the row, which only operators read. */
	readonly getTime: () => string;
	readonly retryMilliseconds?: number;
};

const rowPrefix = 'idempotency/';
const maximumClaimAttempts = 3;
const maximumBackgroundAttempts = 120;
const defaultRetryMilliseconds = 1000;
const maximumRowBodyBytes = 4096;

type WriteResult
	= | {readonly kind: 'written'; readonly row: Row}
		| {readonly kind: 'other'; readonly row: Row}
	/** The row wasn't seen to change; the write may still take effect later. */
		| {readonly kind: 'open'; readonly changeId: string};

export function createIdempotencyClaims(options: IdempotencyClaimsOptions): IdempotencyClaims {
	const {table, node, incarnation} = options;
	const retryMilliseconds = options.retryMilliseconds ?? defaultRetryMilliseconds;
	/** Identifiers of changes by this node that may have claimed a row for a request that won't run. */
	const abandonedChangeIds = new Set<string>();
	const pendingWork = new Set<Promise<unknown>>();
	const pendingWakes = new Set<() => void>();
	const state = {isStopping: false};

	const write = async (key: string, expectedVersion: number, value: ClaimValue): Promise<WriteResult> => {
		const changeId = createIdentifier();
		const outcome = await table.transact(changeId, [{key, expectedVersion, value}]);
		switch (outcome.kind) {
			case 'done': {
				return {
					kind: 'written', row: {
						key, version: expectedVersion + 1, changeId, value,
					},
				};
			}

			case 'conflict': {
				const [row] = outcome.rows;
				return row ? toWriteResult(row, changeId) : {kind: 'open', changeId};
			}

			case 'not-done': {
				return {kind: 'open', changeId};
			}

			case 'unknown': {
				return resolveUnknownWrite(key, expectedVersion, changeId);
			}
		}
	};

	/** Determines the result of a write whose response was lost by the change identifier in the row. */
	const resolveUnknownWrite = async (key: string, expectedVersion: number, changeId: string): Promise<WriteResult> => {
		const read = await table.get(key);
		const row = read.kind === 'done' ? read.value : undefined;
		return row && row.version > expectedVersion ? toWriteResult(row, changeId) : {kind: 'open', changeId};
	};

	/** Releases a claim that may have been written, so that it doesn't block later attempts with the key. */
	const releaseInBackground = async (key: string, expectedVersion: number, value: ClaimValue, changeId: string): Promise<void> => {
		abandonedChangeIds.add(changeId);
		let version = expectedVersion;
		for (let attempt = 0; attempt < maximumBackgroundAttempts && !state.isStopping; attempt++) {
			const result = await write(key, version, {...value, state: 'released'});
			if (result.kind === 'written' || (result.kind === 'other' && result.row.changeId !== changeId)) {
				break;
			}

			if (result.kind === 'other') {
				version = result.row.version;
			} else {
				await waitBeforeRetry();
			}
		}

		abandonedChangeIds.delete(changeId);
	};

	const waitBeforeRetry = async (): Promise<void> => {
		if (state.isStopping) {
			return;
		}

		await new Promise<void>(resolve => {
			const wake = (): void => {
				clearTimeout(timer);
				pendingWakes.delete(wake);
				resolve();
			};

			const timer = setTimeout(wake, retryMilliseconds);
			timer.unref();
			pendingWakes.add(wake);
		});
	};

	const track = async <Value>(work: Promise<Value>): Promise<Value> => {
		pendingWork.add(work);
		const value = await work;
		pendingWork.delete(work);
		return value;
	};

	const finish = async (claim: HeldClaim, outcome: TicketOutcome): Promise<boolean> => {
		const value = getFinishedValue(claim.value, outcome);
		for (let attempt = 0; attempt < maximumBackgroundAttempts; attempt++) {
			const result = await write(claim.key, claim.version, value);
			if (result.kind !== 'open') {
				return true;
			}

			if (state.isStopping) {
				return false;
			}

			await waitBeforeRetry();
		}

		return false;
	};

	return {
		async claim(customer, key, fingerprint) {
			const rowKey = `${rowPrefix}${customer}/${hashText(key)}`;
			const value: ClaimValue = {
				state: 'claimed', fingerprint, node, incarnation, claimedAt: options.getTime(),
			};
			let version = 0;
			for (let attempt = 0; attempt < maximumClaimAttempts; attempt++) {
				const result = await write(rowKey, version, value);
				if (result.kind === 'written') {
					const {version: claimedVersion, changeId} = result.row;
					return {
						kind: 'claimed', claim: {
							key: rowKey, version: claimedVersion, changeId, value,
						},
					};
				}

				if (result.kind === 'open') {
					void track(releaseInBackground(rowKey, version, value, result.changeId));
					return {kind: 'unavailable'};
				}

				const {data: existing} = claimSchema.safeParse(result.row.value);
				if (!existing) {
					return {kind: 'unavailable'};
				}

				if (existing.state !== 'released' && !abandonedChangeIds.has(result.row.changeId)) {
					return {kind: 'existing', value: existing};
				}

				version = result.row.version;
			}

			return {kind: 'unavailable'};
		},
		finish: async (claim, outcome) => track(finish(claim, outcome)),
		async release({key, version, changeId, value}) {
			const result = await write(key, version, {...value, state: 'released'});
			if (result.kind === 'open') {
				void track(releaseInBackground(key, version, value, changeId));
			}
		},
		async stop() {
			state.isStopping = true;
			for (const wake of pendingWakes) {
				wake();
			}

			await Promise.all(pendingWork);
		},
	};
}

/** Reads the outcome from a finished row; unknown if the row has none. */
export function getClaimOutcome(value: ClaimValue): TicketOutcome {
	if (value.outcome !== 'ran' || value.status === undefined) {
		return {kind: 'unknown'};
	}

	const body = value.body === undefined ? undefined : Buffer.from(value.body, 'base64');
	return {kind: 'ran', answer: {status: value.status, headers: value.headers ?? [], body}};
}

function toWriteResult(row: Row, changeId: string): WriteResult {
	return {kind: row.changeId === changeId ? 'written' : 'other', row};
}

function getFinishedValue(value: ClaimValue, outcome: TicketOutcome): ClaimValue {
	if (outcome.kind === 'unknown') {
		return {...value, state: 'finished', outcome: 'unknown'};
	}

	const {status, headers, body} = outcome.answer;
	const storedBody = body && body.length <= maximumRowBodyBytes ? Buffer.from(body).toString('base64') : undefined;
	return {
		...value, state: 'finished', outcome: 'ran', status, headers: [...headers], ...(storedBody !== undefined && {body: storedBody}),
	};
}
