/**
 * Runs a request that isn't idempotent at most once, however often and at
 * whichever entry its caller repeats it. A request with a ticket runs only at
 * the entry that the ticket names; one with an opaque key runs at the entry
 * that claims the key's row. Repetitions receive the outcome of the first run.
 */
import type {Clock} from '@catkindale/common';
import {
	type TicketClaim, type TicketOutcome, type TicketStore, ticketLifetimeMilliseconds,
} from '@catkindale/policy';
import {type ExchangeResult, createProblemResult} from './exchange-result.js';
import {
	createMismatchResult, toTicketOutcome, createReplayResult, createUnknownOutcomeResult,
} from './idempotency-outcomes.js';
import {type HeldClaim, type IdempotencyClaims, getClaimOutcome} from './idempotency-claims.js';
import type {Problem} from './problem.js';
import type {TicketSuccessors} from './ticket-successors.js';
import {type TicketPrefix, parseIdempotencyKey} from './ticket-prefix.js';

export type AtMostOnceRequest = {
	readonly key: string;
	readonly customer: string;
	readonly fingerprint: string;
	/** How long a repetition may wait for the first attempt. */
	readonly maximumWaitMilliseconds: number;
	/** Whether another entry forwarded the request here; it isn't forwarded again. */
	readonly isForwarded: boolean;
	readonly run: () => Promise<ExchangeResult>;
	/** Forwards the request to the member whose incarnation may have the outcome; undefined if it can't be reached. */
	readonly forwardToEntry: (member: string, incarnation: string | undefined) => Promise<ExchangeResult | undefined>;
};

/** A result, and whether it comes from a run at this node rather than from a row or another entry. */
type RunResult = {readonly result: ExchangeResult; readonly isLocalRun: boolean};

export type IdempotencyGuard = {
	runAtMostOnce: (request: AtMostOnceRequest) => Promise<ExchangeResult>;
	/**
	 * Adjusts the problem of a request that was refused before it reached the
	 * guard: its outcome becomes `unknown` if an earlier attempt may have run.
	 */
	adjustProblemOutcome: (key: string, problem: Problem) => Problem;
	/** Resolves once no request is running. */
	waitForRunning: () => Promise<void>;
};

export type IdempotencyGuardOptions = {
	readonly node: string;
	readonly incarnation: string;
	readonly secret: string;
	readonly clock: Clock;
	readonly ticketStore: TicketStore;
	readonly claims: IdempotencyClaims;
	readonly successors: TicketSuccessors;
};

const maximumClockSkewMilliseconds = 60_000;
const recordedOutcomeMilliseconds = 60_000;
const retryAfterMilliseconds = 1000;

/**
 * The clock by which tickets of this incarnation expire: the wall time at its
 * start, advanced by the monotonic clock, so that it never goes backwards.
 */
export type TicketClock = () => number;

export function createTicketClock(clock: Clock): TicketClock {
	const offset = clock.wall() - clock.monotonic();
	return () => clock.monotonic() + offset;
}

export function createIdempotencyGuard(options: IdempotencyGuardOptions, ticketClock: TicketClock): IdempotencyGuard {
	const {ticketStore, claims, successors} = options;
	const running = new Map<string, Promise<ExchangeResult>>();

	/** Runs the request unless it is recorded already; records its outcome unless it provably didn't run. */
	const runUnlessRecorded = async (claim: TicketClaim, request: AtMostOnceRequest, run: () => Promise<RunResult>): Promise<ExchangeResult> => {
		const claimResult = ticketStore.begin(claim, ticketClock());
		switch (claimResult.kind) {
			case 'begun': {
				const result = runAndRecord(claim.id, run);
				running.set(claim.id, result);
				return result;
			}

			case 'running': {
				return waitForFirstAttempt(running.get(claim.id), request.maximumWaitMilliseconds);
			}

			case 'finished': {
				return createReplayResult(claimResult.outcome);
			}

			case 'mismatch': {
				return createMismatchResult();
			}

			case 'full': {
				return createProblemResult({
					status: 503, outcome: 'not-run', reason: 'ticket-memory-full', detail: 'this entry can\'t remember more requests now', retryAfterMilliseconds,
				});
			}
		}
	};

	const runAndRecord = async (id: string, run: () => Promise<RunResult>): Promise<ExchangeResult> => {
		const {result, isLocalRun} = await run();
		running.delete(id);
		const outcome = isLocalRun ? toTicketOutcome(result) : undefined;
		if (outcome) {
			ticketStore.finish(id, outcome);
		} else {
			ticketStore.remove(id);
		}

		return result;
	};

	const runTicket = async (ticket: TicketPrefix, request: AtMostOnceRequest): Promise<ExchangeResult> => {
		const expiresAt = ticket.issuedAt + ticketLifetimeMilliseconds;
		const claim: TicketClaim = {
			id: request.key, customer: request.customer, fingerprint: request.fingerprint, forgetAt: expiresAt,
		};
		if (ticket.incarnation !== options.incarnation) {
			return resolveTicketOfOtherEntry(ticket, claim, request);
		}

		const now = ticketClock();
		if (ticket.issuedAt > now + maximumClockSkewMilliseconds) {
			return createProblemResult({
				status: 400, outcome: 'not-run', reason: 'ticket-from-future', detail: 'the ticket was issued later than now by this entry\'s clock',
			});
		}

		if (expiresAt <= now) {
			return createProblemResult({
				status: 409, outcome: 'unknown', reason: 'ticket-expired', detail: 'the ticket is past its life; an earlier attempt may have run and be forgotten',
			});
		}

		return runUnlessRecorded(claim, request, async () => ({result: await request.run(), isLocalRun: true}));
	};

	/** Finds the result of a ticket of another incarnation, which must not run here. */
	const resolveTicketOfOtherEntry = async (ticket: TicketPrefix, claim: TicketClaim, request: AtMostOnceRequest): Promise<ExchangeResult> => {
		const handedOver = successors.getHandedOverOutcome(ticket.incarnation, claim, claim.forgetAt);
		switch (handedOver?.kind) {
			case 'finished': {
				return createReplayResult(handedOver.outcome);
			}

			case 'mismatch': {
				return createMismatchResult();
			}

			case 'never-ran': {
				return createProblemResult({
					status: 409, outcome: 'not-run', reason: 'entry-stopped', detail: 'the entry of the ticket has stopped and never ran the request; use a new ticket',
				});
			}

			case 'unknown': {
				return createUnknownOutcomeResult();
			}

			case undefined: {
				break;
			}
		}

		if (request.isForwarded) {
			return createUnknownOutcomeResult();
		}

		const successor = successors.getSuccessor(ticket.incarnation);
		const exchangeResult = successor === undefined ? await request.forwardToEntry(ticket.entryId, ticket.incarnation) : await request.forwardToEntry(successor, undefined);
		return exchangeResult ?? createUnknownOutcomeResult();
	};

	const runOpaqueKey = async (request: AtMostOnceRequest): Promise<ExchangeResult> => {
		const id = JSON.stringify([request.customer, request.key]);
		const claim: TicketClaim = {
			id, customer: request.customer, fingerprint: request.fingerprint, forgetAt: ticketClock() + ticketLifetimeMilliseconds,
		};
		return runUnlessRecorded(claim, request, async () => runWithClaim(id, request));
	};

	const runWithClaim = async (id: string, request: AtMostOnceRequest): Promise<RunResult> => {
		const result = await claims.claim(request.customer, request.key, request.fingerprint);
		switch (result.kind) {
			case 'claimed': {
				const exchangeResult = await request.run();
				await completeClaim(id, result.claim, exchangeResult);
				return {result: exchangeResult, isLocalRun: true};
			}

			case 'existing': {
				return {result: await resolveExistingClaim(result.value, request), isLocalRun: false};
			}

			case 'unavailable': {
				const detail = 'the key can\'t be claimed in the table now; a ticket needs no table';
				return {
					result: createProblemResult({
						status: 503, outcome: 'not-run', reason: 'claim-unavailable', detail, retryAfterMilliseconds,
					}), isLocalRun: false,
				};
			}
		}
	};

	const completeClaim = async (id: string, claim: HeldClaim, exchangeResult: ExchangeResult): Promise<void> => {
		const outcome = toTicketOutcome(exchangeResult);
		if (outcome) {
			void recordOutcome(id, claim, outcome);
			return;
		}

		await claims.release(claim);
	};

	/** Once written, the row provides the outcome to repetitions, so that the store needs it only for a short time. */
	const recordOutcome = async (id: string, claim: HeldClaim, outcome: TicketOutcome): Promise<void> => {
		const isWritten = await claims.finish(claim, outcome);
		if (isWritten) {
			ticketStore.setExpiry(id, ticketClock() + recordedOutcomeMilliseconds);
		}
	};

	const resolveExistingClaim = async (value: HeldClaim['value'], request: AtMostOnceRequest): Promise<ExchangeResult> => {
		if (value.fingerprint !== request.fingerprint) {
			return createMismatchResult();
		}

		if (value.state === 'finished') {
			return createReplayResult(getClaimOutcome(value));
		}

		if (request.isForwarded || value.incarnation === options.incarnation) {
			return createUnknownOutcomeResult();
		}

		return await request.forwardToEntry(value.node, value.incarnation) ?? createUnknownOutcomeResult();
	};

	const mayHaveRun = (keyText: string): boolean => {
		const key = parseIdempotencyKey(options.secret, keyText);
		const isOwnTicket = key.kind === 'ticket' && key.incarnation === options.incarnation;
		return key.kind === 'ticket' && (!isOwnTicket || ticketStore.has(keyText) || key.issuedAt + ticketLifetimeMilliseconds <= ticketClock());
	};

	return {
		adjustProblemOutcome: (key, problem) => mayHaveRun(key) ? {...problem, outcome: 'unknown', detail: `${problem.detail}; an earlier attempt may have run`} : problem,
		async waitForRunning() {
			await Promise.all(running.values());
		},
		async runAtMostOnce(request) {
			const key = parseIdempotencyKey(options.secret, request.key);
			switch (key.kind) {
				case 'ticket': {
					return runTicket(key, request);
				}

				case 'opaque': {
					return runOpaqueKey(request);
				}

				case 'invalid': {
					return createProblemResult({
						status: 400, outcome: 'not-run', reason: 'invalid-idempotency-key', detail: 'the Idempotency-Key is too long or no ticket of this fleet',
					});
				}
			}
		},
	};
}

/** Returns the result of the first attempt to a repetition, or `unknown` if the attempt still runs after the wait. */
async function waitForFirstAttempt(firstAttempt: Promise<ExchangeResult> | undefined, waitMilliseconds: number): Promise<ExchangeResult> {
	let timer: NodeJS.Timeout | undefined;
	const timeout = new Promise<undefined>(resolve => {
		timer = setTimeout(() => {
			resolve(undefined);
		}, Math.max(0, waitMilliseconds));
	});
	const result = await Promise.race([firstAttempt, timeout]);
	clearTimeout(timer);
	if (!result) {
		return createProblemResult({
			status: 409, outcome: 'unknown', reason: 'in-progress', detail: 'the first attempt still runs', retryAfterMilliseconds,
		});
	}

	const outcome = toTicketOutcome(result);
	return outcome ? createReplayResult(outcome) : result;
}
