/**
 * The targets of one service and version, and the requests of this node that
 * wait for a slot at one of them. Owns the timer that checks waiting requests.
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
	/** Updates the slots at a target after some were lent to this node. */
	readonly refreshSlots: (target: string) => void;
	readonly getService: () => string;
	/** Milliseconds within which nearly all requests get their response. */
	readonly getLatencyBound: () => number;
	readonly getState: () => TargetPoolState;
	/** Monotonic time of the last request. */
	readonly getUsedAt: () => number;
};

/** The methods of the slot quota that the selection of targets uses. */
export type SelectorQuota = Pick<SlotQuotas, 'getHeld' | 'getLent' | 'take' | 'release'>;

export type TargetPoolDependencies = {
	readonly quota: SelectorQuota;
	readonly region: string;
	readonly clock: Clock;
	readonly random: Random;
	readonly hasCapacityTo?: (region: string) => boolean;
	/** Weight of the customer in the fair queue; equal for all by default. */
	readonly getWeight?: (customer: string) => number;
};

type WaitingRequest = AdmissionRequest & {readonly settle: (selection: Selection) => void};

const slotRefreshMilliseconds = 20;
/** On average, one of this many loan requests is for a target of any region. */
const loanRequestsPerAnyRegionRequest = 2;
/** One loan request is made for this many waiting requests, up to a maximum at once. */
const waitingPerLoanRequest = 2;
const maximumLoanRequests = 4;
const idleSlotRefreshMilliseconds = 1000;
/** How long a request waits for a slot to be lent to a node that holds none. */
const loanWaitMilliseconds = 1000;
const minimumRetryAfterMilliseconds = 1000;

export function createTargetPool(dependencies: TargetPoolDependencies): TargetPool {
	const {quota, clock, region, random, hasCapacityTo} = dependencies;
	const admission: TargetAdmission<WaitingRequest> = createTargetAdmission({
		region, random, takeSlot: (target, request) => quota.take(target, request.deadlineAt), getRecallableSlots: () => lentSlots, ...(hasCapacityTo && {hasCapacityTo}),
	});
	let targets: readonly Target[] = [];
	let localTargets: readonly Target[] = [];
	let targetsByName = new Map<string, Target>();
	let timer: NodeJS.Timeout | undefined;
	let slotsRefreshedAt = -Infinity;
	/** The number of this node's slots that were lent to others at the last refresh. */
	let lentSlots = 0;
	let usedAt = clock.monotonic();

	const refreshAllSlots = (now: number): void => {
		slotsRefreshedAt = now;
		lentSlots = 0;
		for (const target of targets) {
			lentSlots += quota.getLent(target.name);
			admission.chooser.setHeldSlots(target.name, quota.getHeld(target.name), now);
		}
	};

	/**
	 * While requests wait long, tries to take slots that this node doesn't hold,
	 * so that the quota sends loan requests: mostly for targets of the local region.
	 */
	const requestSlotLoans = (): void => {
		const isWorthwhile = admission.getDrainTime() >= admission.chooser.getAverageLatency() / 2;
		if (admission.getLength() === 0 || !isWorthwhile) {
			return;
		}

		const loanRequests = Math.min(maximumLoanRequests, Math.ceil(admission.getLength() / waitingPerLoanRequest));
		for (let index = 0; index < loanRequests; index++) {
			requestSlotLoan();
		}
	};

	const requestSlotLoan = (): void => {
		const isLocal = localTargets.length > 0 && random.integer(1, loanRequestsPerAnyRegionRequest) > 1;
		const candidates = isLocal ? localTargets : targets;
		const target = candidates[random.integer(0, candidates.length - 1)];
		if (target && quota.take(target.name)) {
			quota.release(target.name);
		}
	};

	const setTargets = (nextTargets: readonly Target[], now: number): void => {
		if (nextTargets === targets) {
			return;
		}

		targets = nextTargets;
		localTargets = nextTargets.filter(target => target.region === region);
		targetsByName = new Map(nextTargets.map(target => [target.name, target]));
		admission.setTargets(nextTargets, now);
		refreshAllSlots(now);
	};

	const refuse = (request: WaitingRequest, reason: AdmissionRefusal): void => {
		const hasNoSlots = reason === 'deadline' && admission.chooser.getHeldSlots() === 0;
		const wait = admission.estimateWait(request, clock.monotonic());
		request.settle({kind: 'refused', reason: hasNoSlots ? 'no-slot' : reason, retryAfterMilliseconds: Math.max(minimumRetryAfterMilliseconds, wait)});
	};

	const startRequest = (request: WaitingRequest, name: string): void => {
		const target = targetsByName.get(name);
		assertInvariant(target !== undefined, 'only a target of the pool is chosen', {name});
		const startedAt = clock.monotonic();
		let isFinished = false;
		request.settle({
			kind: 'selected',
			target,
			finish(result: AttemptResult) {
				assertInvariant(!isFinished, 'a slot is released once', {target: name});
				isFinished = true;
				const now = clock.monotonic();
				quota.release(name);
				const milliseconds = result.timeToHeadMilliseconds ?? now - startedAt;
				const isAbortedByDeadline = result.kind === 'lost' && now >= request.deadlineAt && milliseconds < admission.chooser.getLatencyBound();
				// A request that started too late gives no information about its target.
				admission.finish(name, {kind: isAbortedByDeadline ? 'cancelled' : result.kind, milliseconds}, now);
				dispatch(now);
			},
		});
	};

	const runSteps = (now: number): void => {
		for (let step = admission.next(now); step; step = admission.next(now)) {
			switch (step.kind) {
				case 'start': {
					startRequest(step.request, step.target);
					break;
				}

				case 'refuse': {
					refuse(step.request, step.reason);
					break;
				}
			}
		}
	};

	/** Starts the requests that can start, and checks again soon while any request waits. */
	const dispatch = (now: number): void => {
		runSteps(now);
		if (admission.getLength() > 0 && now - slotsRefreshedAt >= slotRefreshMilliseconds) {
			refreshAllSlots(now);
			runSteps(now);
			requestSlotLoans();
		}

		if (admission.getLength() === 0) {
			clearTimeout(timer);
			timer = undefined;
			return;
		}

		timer ??= setTimeout(() => {
			timer = undefined;
			dispatch(clock.monotonic());
		}, slotRefreshMilliseconds);
	};

	const offer = (request: WaitingRequest, now: number): void => {
		const offerResult = admission.offer(request, now);
		if (offerResult.kind === 'refused') {
			refuse(request, offerResult.reason);
			return;
		}

		if (offerResult.displaced) {
			refuse(offerResult.displaced, 'queue-full');
		}

		dispatch(now);
	};

	return {
		async select(request) {
			const now = clock.monotonic();
			usedAt = now;
			setTargets(request.candidates, now);
			if (now - slotsRefreshedAt >= idleSlotRefreshMilliseconds) {
				refreshAllSlots(now);
			}

			return new Promise(resolve => {
				const abort = (): void => {
					admission.cancel(waiting);
					settle({kind: 'refused', reason: 'cancelled', retryAfterMilliseconds: minimumRetryAfterMilliseconds});
				};

				const settle = (selection: Selection): void => {
					request.signal.removeEventListener('abort', abort);
					resolve(selection);
				};

				const {customer, excluded, deadlineAt} = request;
				const waiting: WaitingRequest = {
					customer,
					weight: dependencies.getWeight?.(customer) ?? 1,
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
		getLatencyBound: admission.chooser.getLatencyBound,
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
