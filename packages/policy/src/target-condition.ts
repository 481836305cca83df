/**
 * What a node knows of one target's state: the requests that run there, as
 * far as the node sent them or the target told, its speed, and whether it has
 * failed of late.
 */

export type ReportedTargetLoad = {
	/** Requests that run, those that wait, and slots, as the target's answer told. */
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
};

export type TargetCondition = {
	/** Requests of this node at the target. */
	readonly ownRunning: number;
	/** Requests of other nodes at the target when it last told. */
	readonly othersRunning: number;
	/** What it told of them over some answers. */
	readonly othersAverage: number;
	readonly loadReceivedAt: number;
	/** By this time the target should have answered something; undefined while nothing is awaited. */
	readonly responseExpectedBy: number | undefined;
	/** How much longer this target takes than its service usually does. */
	readonly slowness: number;
	readonly consecutiveFailures: number;
	/** No request goes there before this time. */
	readonly avoidedUntil: number;
};

/** A told number fades to the usual one about as fast as requests come and go. */
const toldHalfLifeMilliseconds = 400;
/** The usual number itself fades when the target tells nothing for longer than this. */
const usualHoldMilliseconds = 1000;
const usualHalfLifeMilliseconds = 1000;
const usualWeight = 0.3;
const slownessWeight = 0.15;
const leastSlowness = 0.7;
const mostSlowness = 12;
const firstPauseMilliseconds = 250;
const longestPauseMilliseconds = 4000;
const failuresBeforePause = 2;
const shedPauseMilliseconds = 60;

export function createTargetCondition(now: number): TargetCondition {
	return {
		ownRunning: 0, othersRunning: 0, othersAverage: 0, loadReceivedAt: now, responseExpectedBy: undefined, slowness: 1, consecutiveFailures: 0, avoidedUntil: Number.NEGATIVE_INFINITY,
	};
}

/** Requests that run or wait at the target, as far as the node can tell. */
export function getExpectedRunning(state: TargetCondition, now: number): number {
	const age = Math.max(0, now - state.loadReceivedAt);
	const surplus = (state.othersRunning - state.othersAverage) * (0.5 ** (age / toldHalfLifeMilliseconds));
	const fading = 0.5 ** (Math.max(0, age - usualHoldMilliseconds) / usualHalfLifeMilliseconds);
	return state.ownRunning + ((state.othersAverage + surplus) * fading);
}

/** A request was sent whose answer is due at the given time at the latest. */
export function recordRequestSent(state: TargetCondition, dueAt: number): TargetCondition {
	return {...state, ownRunning: state.ownRunning + 1, responseExpectedBy: state.responseExpectedBy ?? dueAt};
}

export function recordRequestEnded(state: TargetCondition): TargetCondition {
	const ownRunning = Math.max(0, state.ownRunning - 1);
	return {...state, ownRunning, responseExpectedBy: ownRunning > 0 ? state.responseExpectedBy : undefined};
}

/** The target answered, whatever it said; what else it owes may take as long again. Call it after {@link recordRequestEnded}. */
export function recordResponse(state: TargetCondition, dueAt: number): TargetCondition {
	return {...state, responseExpectedBy: state.ownRunning > 0 ? dueAt : undefined};
}

/** Whether the target owes answers and has given none in the time in which it should have. */
export function isUnresponsive({responseExpectedBy: awaitedBy}: TargetCondition, now: number): boolean {
	return awaitedBy !== undefined && now > awaitedBy;
}

/** Takes what the target told with an answer; call it after {@link recordRequestEnded}. */
export function recordReportedLoad(state: TargetCondition, told: ReportedTargetLoad, now: number): TargetCondition {
	const othersRunning = Math.max(0, told.running + told.waiting - state.ownRunning);
	return {
		...state, othersRunning, othersAverage: state.othersAverage + (usualWeight * (othersRunning - state.othersAverage)), loadReceivedAt: now,
	};
}

/** A good answer that took so many times as long as was expected. */
export function recordSuccess(state: TargetCondition, ratio: number): TargetCondition {
	const slowness = state.slowness + (slownessWeight * (ratio - state.slowness));
	return {
		...state, slowness: Math.min(mostSlowness, Math.max(leastSlowness, slowness)), consecutiveFailures: 0, avoidedUntil: Number.NEGATIVE_INFINITY,
	};
}

/** The target refused a request because it is full. */
export function recordShed(state: TargetCondition, now: number): TargetCondition {
	return {...state, avoidedUntil: Math.max(state.avoidedUntil, now + shedPauseMilliseconds)};
}

/** Several failures in a row keep requests away for a while, longer each time. */
export function recordFailure(state: TargetCondition, now: number): TargetCondition {
	const failuresInRow = state.consecutiveFailures + 1;
	if (failuresInRow < failuresBeforePause) {
		return {...state, consecutiveFailures: failuresInRow};
	}

	const pause = Math.min(longestPauseMilliseconds, firstPauseMilliseconds * (2 ** (failuresInRow - failuresBeforePause)));
	return {...state, consecutiveFailures: failuresInRow, avoidedUntil: now + pause};
}

/** A request ended without an answer while the target was silent: one such end suffices, and those of the same silence add nothing. */
export function recordUnresponsive(state: TargetCondition, now: number): TargetCondition {
	return state.avoidedUntil > now ? state : recordUnreachable(state, now);
}

/** The target can't be reached: one failure suffices. */
export function recordUnreachable(state: TargetCondition, now: number): TargetCondition {
	return recordFailure({...state, consecutiveFailures: Math.max(state.consecutiveFailures, failuresBeforePause - 1)}, now);
}
