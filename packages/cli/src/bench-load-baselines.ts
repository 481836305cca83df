/**
 * What decides when and where a request runs, in the simulated load: the
 * product's own code, and the baselines beside it.
 */
import type {Random} from '@catkindale/common';
import {
	type AdmissionRequest, type Attempt, createFairQueue, createTargetAdmission,
} from '@catkindale/policy';

export type SimulatedTarget = {readonly name: string; readonly region: string; readonly slots: number};

export type Start<Request> = {readonly request: Request; readonly target: string};

/** Whether a request was let in, and those that were refused instead of waiting further. */
export type Steering<Request extends AdmissionRequest> = {
	/** Returns the requests that are refused now, itself included. */
	readonly offer: (request: Request, now: number) => readonly Request[];
	/** The requests to start and to refuse now. */
	readonly next: (now: number) => {readonly started: ReadonlyArray<Start<Request>>; readonly refused: readonly Request[]};
	readonly finish: (target: string, attempt: Attempt, now: number) => void;
	/** A target that joins later. */
	readonly add: (target: SimulatedTarget, now: number) => void;
	readonly report: (target: string, load: number, now: number) => void;
	readonly getInUse: () => number;
};

export const steeringKinds = ['product', 'first-come', 'random', 'least-loaded'] as const;
export type SteeringKind = typeof steeringKinds[number];

const queueBound = 1024;

export function createSteering<Request extends AdmissionRequest>(kind: SteeringKind, targets: readonly SimulatedTarget[], region: string, random: Random): Steering<Request> {
	switch (kind) {
		case 'product': {
			return createProduct(targets, region, random);
		}

		case 'first-come': {
			return createBaseline(targets, createFirstComeQueue(), free => free[random.integer(0, free.length - 1)]);
		}

		case 'random': {
			return createBaseline(targets, createFair(), free => free[random.integer(0, free.length - 1)]);
		}

		case 'least-loaded': {
			return createBaseline(targets, createFair(), free => free.toSorted((left, right) => right.slots - right.inUse - (left.slots - left.inUse))[0]);
		}
	}
}

function createProduct<Request extends AdmissionRequest>(initial: readonly SimulatedTarget[], region: string, random: Random): Steering<Request> {
	const admission = createTargetAdmission<Request>({region, random});
	let targets = initial;
	let inUse = 0;
	const setTargets = (now: number): void => {
		admission.setTargets(targets, now);
		for (const target of targets) {
			admission.chooser.setHeldSlots(target.name, target.slots, now);
		}
	};

	setTargets(0);
	return {
		offer(request, now) {
			const answer = admission.offer(request, now);
			if (answer.kind === 'refused') {
				return [request];
			}

			return answer.displaced ? [answer.displaced] : [];
		},
		next(now) {
			const started: Array<Start<Request>> = [];
			const refused: Request[] = [];
			for (let step = admission.next(now); step; step = admission.next(now)) {
				if (step.kind === 'start') {
					started.push(step);
					inUse += 1;
				} else {
					refused.push(step.request);
				}
			}

			return {started, refused};
		},
		finish(target, attempt, now) {
			inUse -= 1;
			admission.finish(target, attempt, now);
		},
		add(target, now) {
			targets = [...targets, target];
			setTargets(now);
		},
		report(target, load, now) {
			admission.chooser.report(target, {receivedAt: now, isHealthy: true, load}, now);
		},
		getInUse: () => inUse,
	};
}

type Queue<Request> = {readonly add: (request: Request) => readonly Request[]; readonly take: () => Request | undefined; readonly getLength: () => number};

function createFirstComeQueue<Request>(): Queue<Request> {
	const waiting: Request[] = [];
	return {
		add(request) {
			if (waiting.length >= queueBound) {
				return [request];
			}

			waiting.push(request);
			return [];
		},
		take: () => waiting.shift(),
		getLength: () => waiting.length,
	};
}

function createFair<Request extends AdmissionRequest>(): Queue<Request> {
	const queue = createFairQueue<Request>();
	return {
		add(request) {
			const answer = queue.add(request);
			if (answer.kind === 'full') {
				return [request];
			}

			return answer.displaced ? [answer.displaced] : [];
		},
		take: queue.take,
		getLength: queue.getLength,
	};
}

type Counted = SimulatedTarget & {inUse: number};

/** A baseline knows the free slots and nothing of what a target did; it drops a request only past its deadline. */
function createBaseline<Request extends AdmissionRequest>(initial: readonly SimulatedTarget[], queue: Queue<Request>, choose: (free: readonly Counted[]) => Counted | undefined): Steering<Request> {
	const targets: Counted[] = initial.map(target => ({...target, inUse: 0}));
	return {
		offer: request => queue.add(request),
		next(now) {
			const started: Array<Start<Request>> = [];
			const refused: Request[] = [];
			let free = targets.filter(target => target.inUse < target.slots);
			while (free.length > 0 && queue.getLength() > 0) {
				const request = queue.take();
				const target = choose(free);
				if (request && now >= request.deadlineAt) {
					refused.push(request);
				} else if (request && target) {
					target.inUse += 1;
					started.push({request, target: target.name});
				}

				free = targets.filter(other => other.inUse < other.slots);
			}

			return {started, refused};
		},
		finish(name) {
			const target = targets.find(candidate => candidate.name === name);
			if (target) {
				target.inUse -= 1;
			}
		},
		add(target) {
			targets.push({...target, inUse: 0});
		},
		report() {
			// A baseline takes no reports.
		},
		getInUse: () => targets.reduce((sum, target) => sum + target.inUse, 0),
	};
}
