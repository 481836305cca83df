/**
 * Puts off requests while a gateway's processor is behind. Connections are
 * accepted and read first, which costs little: callers whose request was read
 * wait for its answer, the ends of those that left are seen, and it is known
 * who waits, so that the most urgent can begin first.
 */
import type {Clock} from '@catkindale/common';
import {type IntakeItem, type IntakeState, createIntakeQueue} from '@catkindale/policy';
import type {LoopLoad} from './loop-load.js';

export type IntakeRequest = {
	/** 0 is the most urgent. */
	readonly priority: number;
	/** The time in which the request must end. */
	readonly limitMilliseconds: number;
};

export type IntakeEnd = 'begins' | 'too-late' | 'caller-gone';

export type RequestIntake = {
	/** Whether the request would wait too long to begin. */
	isTooLate: (request: IntakeRequest) => boolean;
	/** Resolves when the request is to begin, or won't. */
	enter: (request: IntakeRequest, callerGone: AbortSignal) => Promise<IntakeEnd>;
};

/** A request that has waited so long to be read may have been given up by its caller. */
const lateMilliseconds = 100;
/** Connections that come together stand for a turn or two. */
const acceptingMilliseconds = 20;
/** The first turn read the request, the next reads its connection again and learns of its end. */
const turnsToReadEnds = 2;
/** To accept and read a connection takes about a quarter of the processor time of a request. */
const acceptsPerStart = 4;
const lateCheckMilliseconds = 50;

type Waiting = IntakeItem & {readonly turn: number; readonly end: (end: IntakeEnd) => void};

export function createRequestIntake(clock: Clock, loopLoad: Pick<LoopLoad, 'getLateMilliseconds' | 'getAcceptMilliseconds'>): RequestIntake {
	const queue = createIntakeQueue<Waiting>();
	let turn = 0;
	let checkedAt = 0;

	const getState = (): IntakeState => ({now: clock.monotonic(), acceptMilliseconds: loopLoad.getAcceptMilliseconds()});

	const getItem = ({priority, limitMilliseconds}: IntakeRequest): IntakeItem => ({
		priority, limitMilliseconds, arrivedAt: clock.monotonic() - loopLoad.getLateMilliseconds(),
	});

	const endTurn = (): void => {
		turn += 1;
		const state = getState();
		if (state.now - checkedAt >= lateCheckMilliseconds) {
			checkedAt = state.now;
			for (const waiting of queue.takeLate(state)) {
				waiting.end('too-late');
			}
		}

		if (state.acceptMilliseconds === 0 || turn % acceptsPerStart === 0) {
			queue.take(waiting => turn - waiting.turn >= turnsToReadEnds)?.end('begins');
		}

		if (queue.getLength() > 0) {
			setImmediate(endTurn);
		}
	};

	return {
		isTooLate: request => queue.isTooLate(getItem(request), getState()),
		async enter(request, callerGone) {
			if (callerGone.aborted) {
				return 'caller-gone';
			}

			const isBehind = queue.getLength() > 0 || loopLoad.getLateMilliseconds() > lateMilliseconds || loopLoad.getAcceptMilliseconds() > acceptingMilliseconds;
			if (!isBehind) {
				return 'begins';
			}

			return new Promise(resolve => {
				const leave = (): void => {
					queue.remove(waiting);
					resolve('caller-gone');
				};

				const waiting: Waiting = {
					...getItem(request),
					turn,
					end(end) {
						callerGone.removeEventListener('abort', leave);
						resolve(end);
					},
				};
				callerGone.addEventListener('abort', leave, {once: true});
				if (queue.getLength() === 0) {
					setImmediate(endTurn);
				}

				queue.add(waiting, clock.monotonic());
			});
		},
	};
}
