/**
 * Steering policies of the simulated load, which decide when and at which
 * target a request runs: the product's own code and the baselines.
 */
import type {Random} from '@catkindale/common';
import {
	type AdmissionRequest, type Attempt, createFairQueue, createTargetAdmission,
} from '@catkindale/policy';

export type SimulatedTarget = {readonly name: string; readonly region: string; readonly slots: number};

export type RequestStart<Request> = {readonly request: Request; readonly target: string};

/** Queues requests, assigns them to targets and keeps the count of slots in use. Times in milliseconds. */
export type Steering<Request extends AdmissionRequest> = {
	/** Queues the request. Returns the requests refused because of it, which may include the request itself. */
	readonly offer: (request: Request, now: number) => readonly Request[];
	/** Returns the queued requests to start and to refuse now. */
	readonly next: (now: number) => {readonly started: ReadonlyArray<RequestStart<Request>>; readonly refused: readonly Request[]};
	readonly finish: (target: string, attempt: Attempt, now: number) => void;
	/** Adds a target during the run. */
	readonly addTarget: (target: SimulatedTarget, now: number) => void;
	readonly recordReport: (target: string, load: number, now: number) => void;
	readonly getInUse: () => number;
};

export const steeringKinds = ['product', 'first-come', 'random', 'least-loaded'] as const;
export type SteeringKind = typeof steeringKinds[number];

const maximumQueueLength = 1024;

export function createSteering<Request extends AdmissionRequest>(kind: SteeringKind, targets: readonly SimulatedTarget[], region: string, random: Random): Steering<Request> {
	switch (kind) {
		case 'product': {
			return createProductSteering(targets, region, random);
		}

		case 'first-come': {
			return createBaselineSteering(targets, createFirstComeQueue(), freeTargets => freeTargets[random.integer(0, freeTargets.length - 1)]);
		}

		case 'random': {
			return createBaselineSteering(targets, createFairRequestQueue(), freeTargets => freeTargets[random.integer(0, freeTargets.length - 1)]);
		}

		case 'least-loaded': {
			return createBaselineSteering(targets, createFairRequestQueue(), freeTargets => freeTargets.toSorted((left, right) => right.slots - right.inUse - (left.slots - left.inUse))[0]);
		}
	}
}

function createProductSteering<Request extends AdmissionRequest>(initialTargets: readonly SimulatedTarget[], region: string, random: Random): Steering<Request> {
	const admission = createTargetAdmission<Request>({region, random});
	let targets = initialTargets;
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
			const result = admission.offer(request, now);
			if (result.kind === 'refused') {
				return [request];
			}

			return result.displaced ? [result.displaced] : [];
		},
		next(now) {
			const started: Array<RequestStart<Request>> = [];
			const refused: Request[] = [];
			for (let decision = admission.next(now); decision; decision = admission.next(now)) {
				if (decision.kind === 'start') {
					started.push(decision);
					inUse += 1;
				} else {
					refused.push(decision.request);
				}
			}

			return {started, refused};
		},
		finish(target, attempt, now) {
			inUse -= 1;
			admission.finish(target, attempt, now);
		},
		addTarget(target, now) {
			targets = [...targets, target];
			setTargets(now);
		},
		recordReport(target, load, now) {
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
			if (waiting.length >= maximumQueueLength) {
				return [request];
			}

			waiting.push(request);
			return [];
		},
		take: () => waiting.shift(),
		getLength: () => waiting.length,
	};
}

function createFairRequestQueue<Request extends AdmissionRequest>(): Queue<Request> {
	const queue = createFairQueue<Request>();
	return {
		add(request) {
			const result = queue.add(request);
			if (result.kind === 'full') {
				return [request];
			}

			return result.displaced ? [result.displaced] : [];
		},
		take: queue.take,
		getLength: queue.getLength,
	};
}

type TargetState = SimulatedTarget & {inUse: number};

/** A baseline considers free slots only, not the results of earlier requests, and refuses a queued request only after its deadline. */
function createBaselineSteering<Request extends AdmissionRequest>(
	initialTargets: readonly SimulatedTarget[],
	queue: Queue<Request>,
	chooseTarget: (freeTargets: readonly TargetState[]) => TargetState | undefined,
): Steering<Request> {
	const targets: TargetState[] = initialTargets.map(target => ({...target, inUse: 0}));
	return {
		offer: request => queue.add(request),
		next(now) {
			const started: Array<RequestStart<Request>> = [];
			const refused: Request[] = [];
			let freeTargets = targets.filter(target => target.inUse < target.slots);
			while (freeTargets.length > 0 && queue.getLength() > 0) {
				const request = queue.take();
				const target = chooseTarget(freeTargets);
				if (request && now >= request.deadlineAt) {
					refused.push(request);
				} else if (request && target) {
					target.inUse += 1;
					started.push({request, target: target.name});
				}

				freeTargets = targets.filter(other => other.inUse < other.slots);
			}

			return {started, refused};
		},
		finish(name) {
			const target = targets.find(candidate => candidate.name === name);
			if (target) {
				target.inUse -= 1;
			}
		},
		addTarget(target) {
			targets.push({...target, inUse: 0});
		},
		recordReport() {
			// Baselines ignore the targets' reports.
		},
		getInUse: () => targets.reduce((sum, target) => sum + target.inUse, 0),
	};
}
