/**
 * State of one target as observed by one node: the requests there, which the
 * node sent itself or the target reported, its speed, and its recent failures.
 */

/** Number of running requests, waiting requests and slots, as reported in a response of the target. */
export type ReportedTargetLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
};

export type TargetCondition = {
	/** Requests of this node that run or wait at the target. */
	readonly ownRunning: number;
	/** Requests of other nodes at the target, from its last report. */
	readonly othersRunning: number;
	/** Moving average of `othersRunning` over several reports. */
	readonly othersAverage: number;
	readonly loadReceivedAt: number;
	/** Time by which the target should have sent some response; undefined while none is expected. */
	readonly responseExpectedBy: number | undefined;
	/** Service time of the target relative to the average of its service. */
	readonly slowness: number;
	readonly consecutiveFailures: number;
	/** No request is sent to the target before this time. */
	readonly avoidedUntil: number;
};

/** A reported number decays to the average about as fast as requests start and end. */
const reportHalfLifeMilliseconds = 400;
/** The average itself decays if the target reports nothing for longer than this. */
const averageHoldMilliseconds = 1000;
const averageHalfLifeMilliseconds = 1000;
const averageWeight = 0.3;
const slownessWeight = 0.15;
const minimumSlowness = 0.7;
const maximumSlowness = 12;
const initialPauseMilliseconds = 250;
const maximumPauseMilliseconds = 4000;
const failuresBeforePause = 2;
const shedPauseMilliseconds = 60;

export function createTargetCondition(now: number): TargetCondition {
	return {
		ownRunning: 0, othersRunning: 0, othersAverage: 0, loadReceivedAt: now, responseExpectedBy: undefined, slowness: 1, consecutiveFailures: 0, avoidedUntil: Number.NEGATIVE_INFINITY,
	};
}

/** Estimates the number of requests that run or wait at the target. */
export function getExpectedRunning(condition: TargetCondition, now: number): number {
	const age = Math.max(0, now - condition.loadReceivedAt);
	const surplus = (condition.othersRunning - condition.othersAverage) * (0.5 ** (age / reportHalfLifeMilliseconds));
	const decay = 0.5 ** (Math.max(0, age - averageHoldMilliseconds) / averageHalfLifeMilliseconds);
	return condition.ownRunning + ((condition.othersAverage + surplus) * decay);
}

/** Records that a request was sent whose response is expected by the given time. */
export function recordRequestSent(condition: TargetCondition, expectedBy: number): TargetCondition {
	return {...condition, ownRunning: condition.ownRunning + 1, responseExpectedBy: condition.responseExpectedBy ?? expectedBy};
}

export function recordRequestEnded(condition: TargetCondition): TargetCondition {
	const ownRunning = Math.max(0, condition.ownRunning - 1);
	return {...condition, ownRunning, responseExpectedBy: ownRunning > 0 ? condition.responseExpectedBy : undefined};
}

/** Records that the target sent a response of any kind. The outstanding responses may take as long again, so they are expected by the given time. Call it after {@link recordRequestEnded}. */
export function recordResponse(condition: TargetCondition, expectedBy: number): TargetCondition {
	return {...condition, responseExpectedBy: condition.ownRunning > 0 ? expectedBy : undefined};
}

/** Returns whether responses are outstanding and the target has sent none by the expected time. */
export function isUnresponsive({responseExpectedBy}: TargetCondition, now: number): boolean {
	return responseExpectedBy !== undefined && now > responseExpectedBy;
}

/** Records the load reported in a response. Call it after {@link recordRequestEnded}. */
export function recordReportedLoad(condition: TargetCondition, reported: ReportedTargetLoad, now: number): TargetCondition {
	const othersRunning = Math.max(0, reported.running + reported.waiting - condition.ownRunning);
	return {
		...condition, othersRunning, othersAverage: condition.othersAverage + (averageWeight * (othersRunning - condition.othersAverage)), loadReceivedAt: now,
	};
}

/** Records a successful response; `ratio` is its service time relative to the expected one. */
export function recordSuccess(condition: TargetCondition, ratio: number): TargetCondition {
	const slowness = condition.slowness + (slownessWeight * (ratio - condition.slowness));
	return {
		...condition, slowness: Math.min(maximumSlowness, Math.max(minimumSlowness, slowness)), consecutiveFailures: 0, avoidedUntil: Number.NEGATIVE_INFINITY,
	};
}

/** Records that the target refused a request because it is full. */
export function recordShed(condition: TargetCondition, now: number): TargetCondition {
	return {...condition, avoidedUntil: Math.max(condition.avoidedUntil, now + shedPauseMilliseconds)};
}

/** Records a failure. After several consecutive failures no requests are sent for some time, which doubles with each further failure up to a maximum. */
export function recordFailure(condition: TargetCondition, now: number): TargetCondition {
	const consecutiveFailures = condition.consecutiveFailures + 1;
	if (consecutiveFailures < failuresBeforePause) {
		return {...condition, consecutiveFailures};
	}

	const pause = Math.min(maximumPauseMilliseconds, initialPauseMilliseconds * (2 ** (consecutiveFailures - failuresBeforePause)));
	return {...condition, consecutiveFailures, avoidedUntil: now + pause};
}

/** Records that a request ended without a response while the target was unresponsive. One such request suffices to avoid the target; further ones have no effect while it is avoided. */
export function recordUnresponsive(condition: TargetCondition, now: number): TargetCondition {
	return condition.avoidedUntil > now ? condition : recordUnreachable(condition, now);
}

/** Records that the target can't be reached. One such failure suffices to avoid it. */
export function recordUnreachable(condition: TargetCondition, now: number): TargetCondition {
	return recordFailure({...condition, consecutiveFailures: Math.max(condition.consecutiveFailures, failuresBeforePause - 1)}, now);
}
