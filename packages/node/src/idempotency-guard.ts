/**
 * Runs a request that may not be repeated at most once, however often and
 * wherever its caller repeats it. A ticket is run by its home entry alone; an
 * opaque key by whoever claims its row. Repetitions get the first outcome.
 */
import type {Clock} from '@catkindale/common';
import {
	type OnceClaim, type RememberedOutcome, type TicketMemory, ticketLifeMilliseconds,
} from '@catkindale/policy';
import {type ExchangeResult, createProblemResult} from './exchange-result.js';
import {
	getMismatch, getRememberedOutcome, getRememberedResult, getUnknownResult,
} from './idempotency-outcomes.js';
import {type HeldClaim, type IdempotencyClaims, getClaimOutcome} from './idempotency-claims.js';
import type {Problem} from './problem.js';
import type {TicketHeirs} from './ticket-heirs.js';
import {type TicketPrefix, parseIdempotencyKey} from './ticket-prefix.js';

export type OnceRequest = {
	readonly key: string;
	readonly customer: string;
	readonly fingerprint: string;
	/** Milliseconds for which a repetition may wait for the first attempt. */
	readonly waitMilliseconds: number;
	/** Whether another entry sent it here; then it goes no further. */
	readonly isHop: boolean;
	readonly run: () => Promise<ExchangeResult>;
	/** Asks the member whose incarnation may know; undefined if it can't be reached. */
	readonly hop: (member: string, incarnation: string | undefined) => Promise<ExchangeResult | undefined>;
};

/** A result, and whether it is that of a run of this node rather than a look elsewhere. */
type OwnResult = {readonly result: ExchangeResult; readonly isOwn: boolean};

export type IdempotencyGuard = {
	runOnce: (request: OnceRequest) => Promise<ExchangeResult>;
	/** The refusal of a request before it got here: `unknown` where an earlier attempt may have run. */
	getRefusal: (key: string, problem: Problem) => Problem;
	/** Resolves once no request runs any more. */
	settle: () => Promise<void>;
};

export type GuardOptions = {
	readonly node: string;
	readonly incarnation: string;
	readonly secret: string;
	readonly clock: Clock;
	readonly memory: TicketMemory;
	readonly claims: IdempotencyClaims;
	readonly heirs: TicketHeirs;
};

const largestClockSkewMilliseconds = 60_000;
const rememberedRowMilliseconds = 60_000;
const retryAfterMilliseconds = 1000;

/** The clock by which tickets of this incarnation age; it never goes back. */
export type TicketClock = () => number;

export function createTicketClock(clock: Clock): TicketClock {
	const offset = clock.wall() - clock.monotonic();
	return () => clock.monotonic() + offset;
}

export function createIdempotencyGuard(options: GuardOptions, ticketClock: TicketClock): IdempotencyGuard {
	const {memory, claims, heirs} = options;
	const running = new Map<string, Promise<ExchangeResult>>();

	/** Runs the request unless it is known; keeps its outcome unless it provably didn't run. */
	const runUnlessKnown = async (claim: OnceClaim, request: OnceRequest, run: () => Promise<OwnResult>): Promise<ExchangeResult> => {
		const begin = memory.begin(claim, ticketClock());
		switch (begin.kind) {
			case 'begun': {
				const result = runAndRemember(claim.id, run);
				running.set(claim.id, result);
				return result;
			}

			case 'running': {
				return waitForFirst(running.get(claim.id), request.waitMilliseconds);
			}

			case 'finished': {
				return getRememberedResult(begin.outcome);
			}

			case 'mismatch': {
				return getMismatch();
			}

			case 'full': {
				return createProblemResult({
					status: 503, outcome: 'not-run', reason: 'ticket-memory-full', detail: 'this entry can\'t remember more requests now', retryAfterMilliseconds,
				});
			}
		}
	};

	const runAndRemember = async (id: string, run: () => Promise<OwnResult>): Promise<ExchangeResult> => {
		const {result, isOwn} = await run();
		running.delete(id);
		const outcome = isOwn ? getRememberedOutcome(result) : undefined;
		if (outcome) {
			memory.finish(id, outcome);
		} else {
			memory.forget(id);
		}

		return result;
	};

	const runTicket = async (ticket: TicketPrefix, request: OnceRequest): Promise<ExchangeResult> => {
		const expiresAt = ticket.issuedAt + ticketLifeMilliseconds;
		const claim: OnceClaim = {
			id: request.key, customer: request.customer, fingerprint: request.fingerprint, forgetAt: expiresAt,
		};
		if (ticket.incarnation !== options.incarnation) {
			return askHome(ticket, claim, request);
		}

		const now = ticketClock();
		if (ticket.issuedAt > now + largestClockSkewMilliseconds) {
			return createProblemResult({
				status: 400, outcome: 'not-run', reason: 'ticket-from-future', detail: 'the ticket was issued later than now by this entry\'s clock',
			});
		}

		if (expiresAt <= now) {
			return createProblemResult({
				status: 409, outcome: 'unknown', reason: 'ticket-expired', detail: 'the ticket is past its life; an earlier attempt may have run and be forgotten',
			});
		}

		return runUnlessKnown(claim, request, async () => ({result: await request.run(), isOwn: true}));
	};

	/** Only the home may run the ticket; here it is never run. */
	const askHome = async (ticket: TicketPrefix, claim: OnceClaim, request: OnceRequest): Promise<ExchangeResult> => {
		const inherited = heirs.getInherited(ticket.incarnation, claim, claim.forgetAt);
		switch (inherited?.kind) {
			case 'finished': {
				return getRememberedResult(inherited.outcome);
			}

			case 'mismatch': {
				return getMismatch();
			}

			case 'never-ran': {
				return createProblemResult({
					status: 409, outcome: 'not-run', reason: 'entry-stopped', detail: 'the entry of the ticket has stopped and never ran the request; use a new ticket',
				});
			}

			case 'unknown': {
				return getUnknownResult();
			}

			case undefined: {
				break;
			}
		}

		if (request.isHop) {
			return getUnknownResult();
		}

		const heir = heirs.getHeir(ticket.incarnation);
		const answer = heir === undefined ? await request.hop(ticket.home, ticket.incarnation) : await request.hop(heir, undefined);
		return answer ?? getUnknownResult();
	};

	const runOpaque = async (request: OnceRequest): Promise<ExchangeResult> => {
		const id = JSON.stringify([request.customer, request.key]);
		const claim: OnceClaim = {
			id, customer: request.customer, fingerprint: request.fingerprint, forgetAt: ticketClock() + ticketLifeMilliseconds,
		};
		return runUnlessKnown(claim, request, async () => runClaimed(id, request));
	};

	const runClaimed = async (id: string, request: OnceRequest): Promise<OwnResult> => {
		const result = await claims.claim(request.customer, request.key, request.fingerprint);
		switch (result.kind) {
			case 'claimed': {
				const answer = await request.run();
				await settleClaim(id, result.claim, answer);
				return {result: answer, isOwn: true};
			}

			case 'existing': {
				return {result: await answerExisting(result.value, request), isOwn: false};
			}

			case 'unavailable': {
				const detail = 'the key can\'t be claimed in the table now; a ticket needs no table';
				return {
					result: createProblemResult({
						status: 503, outcome: 'not-run', reason: 'claim-unavailable', detail, retryAfterMilliseconds,
					}), isOwn: false,
				};
			}
		}
	};

	const settleClaim = async (id: string, claim: HeldClaim, answer: ExchangeResult): Promise<void> => {
		const outcome = getRememberedOutcome(answer);
		if (outcome) {
			void recordOutcome(id, claim, outcome);
			return;
		}

		await claims.release(claim);
	};

	/** The row answers repetitions from then on, so that the memory needs the outcome only for a while. */
	const recordOutcome = async (id: string, claim: HeldClaim, outcome: RememberedOutcome): Promise<void> => {
		const isWritten = await claims.finish(claim, outcome);
		if (isWritten) {
			memory.setForgetAt(id, ticketClock() + rememberedRowMilliseconds);
		}
	};

	const answerExisting = async (value: HeldClaim['value'], request: OnceRequest): Promise<ExchangeResult> => {
		if (value.fingerprint !== request.fingerprint) {
			return getMismatch();
		}

		if (value.state === 'finished') {
			return getRememberedResult(getClaimOutcome(value));
		}

		if (request.isHop || value.incarnation === options.incarnation) {
			return getUnknownResult();
		}

		return await request.hop(value.node, value.incarnation) ?? getUnknownResult();
	};

	const mayHaveRun = (text: string): boolean => {
		const key = parseIdempotencyKey(options.secret, text);
		const isOwn = key.kind === 'ticket' && key.incarnation === options.incarnation;
		return key.kind === 'ticket' && (!isOwn || memory.has(text) || key.issuedAt + ticketLifeMilliseconds <= ticketClock());
	};

	return {
		getRefusal: (key, problem) => mayHaveRun(key) ? {...problem, outcome: 'unknown', detail: `${problem.detail}; an earlier attempt may have run`} : problem,
		async settle() {
			await Promise.all(running.values());
		},
		async runOnce(request) {
			const key = parseIdempotencyKey(options.secret, request.key);
			switch (key.kind) {
				case 'ticket': {
					return runTicket(key, request);
				}

				case 'opaque': {
					return runOpaque(request);
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

/** A repetition that comes while the first attempt runs gets its answer, or `unknown` when it has waited enough. */
async function waitForFirst(first: Promise<ExchangeResult> | undefined, waitMilliseconds: number): Promise<ExchangeResult> {
	let timer: NodeJS.Timeout | undefined;
	const timeout = new Promise<undefined>(resolve => {
		timer = setTimeout(() => {
			resolve(undefined);
		}, Math.max(0, waitMilliseconds));
	});
	const result = await Promise.race([first, timeout]);
	clearTimeout(timer);
	if (!result) {
		return createProblemResult({
			status: 409, outcome: 'unknown', reason: 'in-progress', detail: 'the first attempt still runs', retryAfterMilliseconds,
		});
	}

	const outcome = getRememberedOutcome(result);
	return outcome ? getRememberedResult(outcome) : result;
}
