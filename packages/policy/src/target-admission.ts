/**
 * Brings the requests for one pool of targets and the free slots together: a
 * request waits in the fair queue until a target is chosen for it, and is
 * refused early when its deadline can't be met. The state is changed in place.
 */
import type {Random} from '@catkindale/common';
import {
	type FairQueue, type FairQueueLimits, type QueuedRequest, createFairQueue, defaultFairQueueLimits,
} from './fair-queue.js';
import {type PoolTarget, type TargetChooser, createTargetChooser} from './target-chooser.js';
import type {Attempt} from './target-health.js';

export type AdmissionRequest = QueuedRequest & {
	/** Names of targets that were tried already. */
	readonly excluded: ReadonlySet<string>;
};

export type AdmissionRefusal = 'no-target' | 'no-slot' | 'queue-full' | 'deadline';

/** What is due next for the requests that wait. */
export type AdmissionDecision<Request>
	= | {readonly kind: 'start'; readonly request: Request; readonly target: string}
		| {readonly kind: 'refuse'; readonly request: Request; readonly reason: AdmissionRefusal};

export type OfferResult<Request>
	/** `displaced` had to give way and is refused. */
	= | {readonly kind: 'waiting'; readonly displaced: Request | undefined}
		| {readonly kind: 'refused'; readonly reason: AdmissionRefusal};

export type TargetAdmission<Request extends AdmissionRequest> = {
	readonly chooser: TargetChooser;
	readonly getLength: () => number;
	readonly setTargets: (targets: readonly PoolTarget[], now: number) => void;
	/** Lets a request wait or refuses it; call `next` afterwards. */
	readonly offer: (request: Request, now: number) => OfferResult<Request>;
	/** The next request to start or refuse; undefined while all have to wait. A started one has its slot taken. */
	readonly next: (now: number) => AdmissionDecision<Request> | undefined;
	/** Removes a request that waits; false if it doesn't. */
	readonly cancel: (request: Request) => boolean;
	/** Estimated milliseconds until all requests that wait now are started. */
	readonly getDrainTime: () => number;
	readonly finish: (target: string, attempt: Attempt, now: number) => void;
	/** Estimated milliseconds until a request that comes now is started. */
	readonly estimateWait: (request: QueuedRequest, now: number) => number;
};

export type TargetAdmissionOptions<Request> = {
	readonly region: string;
	readonly random: Random;
	readonly limits?: FairQueueLimits;
	readonly isRegionOpen?: (region: string) => boolean;
	/** Own slots that others use now and give back when this node needs them. */
	readonly getRecallableSlots?: () => number;
	/** Takes the slot from the quota that this node holds; false if it holds none that is free. */
	readonly takeSlot?: (target: string, request: Request) => boolean;
};

export function createTargetAdmission<Request extends AdmissionRequest>(options: TargetAdmissionOptions<Request>): TargetAdmission<Request> {
	const choice = createTargetChooser(options);
	const queue: FairQueue<Request> = createFairQueue(options.limits ?? defaultFairQueueLimits);
	const {takeSlot = () => true, getRecallableSlots = () => 0} = options;
	let targets: readonly PoolTarget[] = [];

	const hasTargetFor = (request: Request): boolean => request.excluded.size === 0
		? targets.length > 0
		: targets.some(target => !request.excluded.has(target.name));

	const estimateWait = (request: QueuedRequest, now: number): number => {
		const ahead = queue.countAhead(request);
		if (ahead === 0 && choice.hasFreeTarget(now)) {
			return 0;
		}

		const slots = choice.getUsableSlots() + getRecallableSlots();
		const untilUsable = slots > 0 ? 0 : Math.max(0, (choice.getNextResumeTime() ?? now) - now);
		return untilUsable + ((ahead + 1) * choice.getAverageLatency() / Math.max(1, slots));
	};

	/** Whether the request can still be answered before its deadline, if it starts at the given time. */
	const isInTime = (request: Request, startAt: number): boolean => startAt + choice.getLatencyBound() <= request.deadlineAt;

	const getDrainTime = (): number => queue.getLength() * choice.getAverageLatency() / Math.max(1, choice.getUsableSlots());

	/** Chooses a target whose slot can be taken; one that turns out to have none is left out until the next `setHeld`. */
	const takeTarget = (request: Request, now: number): string | undefined => {
		const wish = {excluded: request.excluded, waitMilliseconds: getDrainTime()};
		for (let target = choice.choose(wish, now); target !== undefined; target = choice.choose(wish, now)) {
			if (takeSlot(target, request)) {
				return target;
			}

			choice.setHeldSlots(target, choice.getState(target)?.inUse ?? 0, now);
		}

		return undefined;
	};

	return {
		chooser: choice,
		estimateWait,
		getLength: queue.getLength,
		setTargets(next, now) {
			targets = next;
			choice.setTargets(next, now);
		},
		offer(request, now) {
			if (!hasTargetFor(request)) {
				return {kind: 'refused', reason: 'no-target'};
			}

			const wait = estimateWait(request, now);
			if (wait > 0 && !isInTime(request, now + wait)) {
				return {kind: 'refused', reason: 'deadline'};
			}

			const answer = queue.add(request);
			return answer.kind === 'full'
				? {kind: 'refused', reason: 'queue-full'}
				: {kind: 'waiting', displaced: answer.displaced};
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
				if (request.excluded.size > 0 && choice.hasFreeTarget(now)) {
					// It mustn't hold up those behind it, which could use the free target.
					queue.remove(request);
					return {kind: 'refuse', request, reason: 'no-slot'};
				}

				return undefined;
			}

			queue.take();
			choice.start(target, now);
			return {kind: 'start', request, target};
		},
		getDrainTime,
		cancel: queue.remove,
		finish: choice.finish,
	};
}
