/**
 * Assigns the free slots of one pool of targets to requests. A request waits in
 * the fair queue until a target is chosen for it. If its deadline can't be met,
 * it is refused early. The state is modified in place.
 */
import type {Random} from '@catkindale/common';
import {
	type FairQueue, type FairQueueLimits, type QueuedRequest, createFairQueue, defaultFairQueueLimits,
} from './fair-queue.js';
import {type PoolTarget, type TargetChooser, createTargetChooser} from './target-chooser.js';
import type {Attempt} from './target-health.js';

export type AdmissionRequest = QueuedRequest & {
	/** Names of targets that have already been tried. */
	readonly excluded: ReadonlySet<string>;
};

export type AdmissionRefusal = 'no-target' | 'no-slot' | 'queue-full' | 'deadline';

/** Next decision about a waiting request. */
export type AdmissionDecision<Request>
	= | {readonly kind: 'start'; readonly request: Request; readonly target: string}
		| {readonly kind: 'refuse'; readonly request: Request; readonly reason: AdmissionRefusal};

export type OfferResult<Request>
	/** `displaced` is the request that was removed from the full queue and is refused. */
	= | {readonly kind: 'waiting'; readonly displaced: Request | undefined}
		| {readonly kind: 'refused'; readonly reason: AdmissionRefusal};

export type TargetAdmission<Request extends AdmissionRequest> = {
	readonly chooser: TargetChooser;
	readonly getLength: () => number;
	readonly setTargets: (targets: readonly PoolTarget[], now: number) => void;
	/** Queues or refuses a request; call `next` afterwards. */
	readonly offer: (request: Request, now: number) => OfferResult<Request>;
	/** Returns the next request to start or refuse, or undefined while all requests have to wait. The slot of a started request is already taken. */
	readonly next: (now: number) => AdmissionDecision<Request> | undefined;
	/** Removes a waiting request; returns false if it isn't waiting. */
	readonly cancel: (request: Request) => boolean;
	/** Estimates the milliseconds until all waiting requests are started. */
	readonly getDrainTime: () => number;
	readonly finish: (target: string, attempt: Attempt, now: number) => void;
	/** Estimates the milliseconds until a request that arrives now is started. */
	readonly estimateWait: (request: QueuedRequest, now: number) => number;
};

export type TargetAdmissionOptions<Request> = {
	readonly region: string;
	readonly random: Random;
	readonly limits?: FairQueueLimits;
	readonly hasCapacityTo?: (region: string) => boolean;
	/** Slots of this node that are lent to other nodes and can be recalled. */
	readonly getRecallableSlots?: () => number;
	/** Takes a slot from this node's quota; returns false if no held slot is free. */
	readonly takeSlot?: (target: string, request: Request) => boolean;
};

export function createTargetAdmission<Request extends AdmissionRequest>(options: TargetAdmissionOptions<Request>): TargetAdmission<Request> {
	const chooser = createTargetChooser(options);
	const queue: FairQueue<Request> = createFairQueue(options.limits ?? defaultFairQueueLimits);
	const {takeSlot = () => true, getRecallableSlots = () => 0} = options;
	let targets: readonly PoolTarget[] = [];

	const hasTargetFor = (request: Request): boolean => request.excluded.size === 0
		? targets.length > 0
		: targets.some(target => !request.excluded.has(target.name));

	const estimateWait = (request: QueuedRequest, now: number): number => {
		const ahead = queue.countAhead(request);
		if (ahead === 0 && chooser.hasFreeTarget(now)) {
			return 0;
		}

		const slots = chooser.getUsableSlots() + getRecallableSlots();
		const delayUntilUsable = slots > 0 ? 0 : Math.max(0, (chooser.getNextResumeTime() ?? now) - now);
		return delayUntilUsable + ((ahead + 1) * chooser.getAverageLatency() / Math.max(1, slots));
	};

	/** Returns whether the request can be served before its deadline if it starts at the given time. */
	const isInTime = (request: Request, startAt: number): boolean => startAt + chooser.getLatencyBound() <= request.deadlineAt;

	const getDrainTime = (): number => queue.getLength() * chooser.getAverageLatency() / Math.max(1, chooser.getUsableSlots());

	/** Chooses a target and takes one of its slots. A target without a free slot is skipped until the next call of `setHeldSlots`. */
	const takeTarget = (request: Request, now: number): string | undefined => {
		const choiceRequest = {excluded: request.excluded, waitMilliseconds: getDrainTime()};
		for (let target = chooser.choose(choiceRequest, now); target !== undefined; target = chooser.choose(choiceRequest, now)) {
			if (takeSlot(target, request)) {
				return target;
			}

			chooser.setHeldSlots(target, chooser.getState(target)?.inUse ?? 0, now);
		}

		return undefined;
	};

	return {
		chooser,
		estimateWait,
		getLength: queue.getLength,
		setTargets(next, now) {
			targets = next;
			chooser.setTargets(next, now);
		},
		offer(request, now) {
			if (!hasTargetFor(request)) {
				return {kind: 'refused', reason: 'no-target'};
			}

			const wait = estimateWait(request, now);
			if (wait > 0 && !isInTime(request, now + wait)) {
				return {kind: 'refused', reason: 'deadline'};
			}

			const result = queue.add(request);
			return result.kind === 'full'
				? {kind: 'refused', reason: 'queue-full'}
				: {kind: 'waiting', displaced: result.displaced};
		},
		next(now) {
			const request = queue.peek();
			if (!request) {
				return undefined;
			}

			if (now >= request.deadlineAt || (now > request.queuedAt && !isInTime(request, now))) {
				queue.remove(request);
				return {kind: 'refuse', request, reason: 'deadline'};
			}

			if (!hasTargetFor(request)) {
				queue.remove(request);
				return {kind: 'refuse', request, reason: 'no-target'};
			}

			const target = takeTarget(request, now);
			if (target === undefined) {
				if (request.excluded.size > 0 && chooser.hasFreeTarget(now)) {
					// The request must not block those behind it, which could use the free target.
					queue.remove(request);
					return {kind: 'refuse', request, reason: 'no-slot'};
				}

				return undefined;
			}

			queue.take();
			chooser.start(target, now);
			return {kind: 'start', request, target};
		},
		getDrainTime,
		cancel: queue.remove,
		finish: chooser.finish,
	};
}
