/**
 * The targets of one service and version on this node, and the requests that
 * wait for one of them. Owns the timers that end or resume waiting.
 */
import {type Clock, type Random, assertInvariant} from '@catkindale/common';
import {
	type AdmissionRefusal, type AdmissionRequest, type Target, type TargetAdmission, type TargetReport, createTargetAdmission,
} from '@catkindale/policy';
import type {TargetPoolState} from './selector-metrics.js';
import type {SlotQuotas} from './slot-quotas.js';
import type {AttemptResult, Selection, SelectionRequest} from './target-selector.js';

export type TargetPool = {
	readonly select: (request: SelectionRequest) => Promise<Selection>;
	readonly recordReport: (target: string, report: TargetReport) => void;
	/** Notes that slots at a target were lent to this node. */
	readonly refreshSlots: (target: string) => void;
	readonly getService: () => string;
	/** Milliseconds within which nearly all requests are answered. */
	readonly getSafeLatency: () => number;
	readonly getState: () => TargetPoolState;
	/** Monotonic time of the last request. */
	readonly getUsedAt: () => number;
};

/** The part of the slot quota that the choice of targets uses. */
export type SelectorQuota = Pick<SlotQuotas, 'getHeld' | 'getLent' | 'take' | 'release'>;

export type TargetPoolDependencies = {
	readonly quota: SelectorQuota;
	readonly region: string;
	readonly clock: Clock;
	readonly random: Random;
	readonly isRegionOpen?: (region: string) => boolean;
	/** Weight of the customer in the fair queue; alike for all by default. */
	readonly getWeight?: (customer: string) => number;
};

type Waiting = AdmissionRequest & {readonly settle: (selection: Selection) => void};

const heldRefreshMilliseconds = 20;
/** Of so many wishes for a slot, one goes to any region. */
const wishesPerRemoteWish = 2;
/** Wishes at once: one for so many requests that wait, within a limit. */
const waitingPerWish = 2;
const mostWishes = 4;
const idleRefreshMilliseconds = 1000;
/** How long a request waits on a node that holds no slot, for one to be lent. */
const loanWaitMilliseconds = 1000;
const leastRetryAfterMilliseconds = 1000;

export function createTargetPool(parts: TargetPoolDependencies): TargetPool {
	const {quota, clock, region, random, isRegionOpen} = parts;
	const admission: TargetAdmission<Waiting> = createTargetAdmission({
		region, random, takeSlot: (target, request) => quota.take(target, request.deadlineAt), getRecallableSlots: () => lent, ...(isRegionOpen && {isRegionOpen}),
	});
	let targets: readonly Target[] = [];
	let localTargets: readonly Target[] = [];
	let targetsByName = new Map<string, Target>();
	let timer: NodeJS.Timeout | undefined;
	let heldAt = -Infinity;
	/** Own slots that were lent at that time. */
	let lent = 0;
	let usedAt = clock.monotonic();

	const refreshHeld = (now: number): void => {
		heldAt = now;
		lent = 0;
		for (const target of targets) {
			lent += quota.getLent(target.name);
			admission.chooser.setHeldSlots(target.name, quota.getHeld(target.name), now);
		}
	};

	/**
	 * While requests wait long, tries to take a slot that isn't held, so that
	 * the quota asks for it elsewhere: mostly at targets of the own region.
	 */
	const wishForSlots = (): void => {
		const isWorthwhile = admission.getDrainTime() >= admission.chooser.getAverageLatency() / 2;
		if (admission.getLength() === 0 || !isWorthwhile) {
			return;
		}

		const wishes = Math.min(mostWishes, Math.ceil(admission.getLength() / waitingPerWish));
		for (let wish = 0; wish < wishes; wish++) {
			wishForSlot();
		}
	};

	const wishForSlot = (): void => {
		const isLocal = localTargets.length > 0 && random.integer(1, wishesPerRemoteWish) > 1;
		const wished = isLocal ? localTargets : targets;
		const target = wished[random.integer(0, wished.length - 1)];
		if (target && quota.take(target.name)) {
			quota.release(target.name);
		}
	};

	const setTargets = (next: readonly Target[], now: number): void => {
		if (next === targets) {
			return;
		}

		targets = next;
		localTargets = next.filter(target => target.region === region);
		targetsByName = new Map(next.map(target => [target.name, target]));
		admission.setTargets(next, now);
		refreshHeld(now);
	};

	const refuse = (request: Waiting, reason: AdmissionRefusal): void => {
		const holdsNone = reason === 'deadline' && admission.chooser.getHeldSlots() === 0;
		const wait = admission.estimateWait(request, clock.monotonic());
		request.settle({kind: 'refused', reason: holdsNone ? 'no-slot' : reason, retryAfterMilliseconds: Math.max(leastRetryAfterMilliseconds, wait)});
	};

	const start = (request: Waiting, name: string): void => {
		const target = targetsByName.get(name);
		assertInvariant(target !== undefined, 'only a target of the pool is chosen', {name});
		const startedAt = clock.monotonic();
		let isFinished = false;
		request.settle({
			kind: 'selected',
			target,
			finish(result: AttemptResult) {
				assertInvariant(!isFinished, 'a slot is given back once', {target: name});
				isFinished = true;
				const now = clock.monotonic();
				quota.release(name);
				const milliseconds = result.timeToHeadMilliseconds ?? now - startedAt;
				const isCutByDeadline = result.kind === 'lost' && now >= request.deadlineAt && milliseconds < admission.chooser.getLatencyBound();
				// A request that started too late tells nothing about its target.
				admission.finish(name, {kind: isCutByDeadline ? 'cancelled' : result.kind, milliseconds}, now);
				dispatch(now);
			},
		});
	};

	const runSteps = (now: number): void => {
		for (let step = admission.next(now); step; step = admission.next(now)) {
			switch (step.kind) {
				case 'start': {
					start(step.request, step.target);
					break;
				}

				case 'refuse': {
					refuse(step.request, step.reason);
					break;
				}
			}
		}
	};

	/** Starts what can start; looks again soon while a request waits. */
	const dispatch = (now: number): void => {
		runSteps(now);
		if (admission.getLength() > 0 && now - heldAt >= heldRefreshMilliseconds) {
			refreshHeld(now);
			runSteps(now);
			wishForSlots();
		}

		if (admission.getLength() === 0) {
			clearTimeout(timer);
			timer = undefined;
			return;
		}

		timer ??= setTimeout(() => {
			timer = undefined;
			dispatch(clock.monotonic());
		}, heldRefreshMilliseconds);
	};

	const offer = (request: Waiting, now: number): void => {
		const answer = admission.offer(request, now);
		if (answer.kind === 'refused') {
			refuse(request, answer.reason);
			return;
		}

		if (answer.displaced) {
			refuse(answer.displaced, 'queue-full');
		}

		dispatch(now);
	};

	return {
		async select(request) {
			const now = clock.monotonic();
			usedAt = now;
			setTargets(request.candidates, now);
			if (now - heldAt >= idleRefreshMilliseconds) {
				refreshHeld(now);
			}

			return new Promise(resolve => {
				const abort = (): void => {
					admission.cancel(waiting);
					settle({kind: 'refused', reason: 'cancelled', retryAfterMilliseconds: leastRetryAfterMilliseconds});
				};

				const settle = (selection: Selection): void => {
					request.signal.removeEventListener('abort', abort);
					resolve(selection);
				};

				const {customer, excluded, deadlineAt} = request;
				const waiting: Waiting = {
					customer,
					weight: parts.getWeight?.(customer) ?? 1,
					class: request.class,
					excluded,
					queuedAt: now,
					deadlineAt: admission.chooser.getHeldSlots() > 0 ? deadlineAt : Math.min(deadlineAt, now + loanWaitMilliseconds),
					settle,
				};
				request.signal.addEventListener('abort', abort, {once: true});
				offer(waiting, now);
			});
		},
		recordReport(target, report) {
			admission.chooser.report(target, report, clock.monotonic());
		},
		refreshSlots(target) {
			const now = clock.monotonic();
			admission.chooser.setHeldSlots(target, quota.getHeld(target), now);
			dispatch(now);
		},
		getService: () => targets[0]?.service ?? '',
		getSafeLatency: admission.chooser.getLatencyBound,
		getState() {
			const states = targets.map(target => admission.chooser.getState(target.name)).filter(state => state !== undefined);
			return {
				service: targets[0]?.service ?? '',
				version: targets[0]?.version ?? '',
				waitingRequests: admission.getLength(),
				held: states.reduce((sum, state) => sum + state.held, 0),
				usable: states.reduce((sum, state) => sum + state.usable, 0),
				inUse: states.reduce((sum, state) => sum + state.inUse, 0),
				cutOffTargets: states.filter(state => state.isCutOff).length,
			};
		},
		getUsedAt: () => usedAt,
	};
}
