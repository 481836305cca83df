/**
 * Randomised run of the admission to targets: slots held are never exceeded,
 * no request is lost or started twice, excluded and paused targets get none,
 * and aborted requests leave no trace.
 */
import {type Random, assertInvariant, createRandom} from '@catkindale/common';
import {
	type AdmissionRequest, type AdmissionDecision, type TargetAdmission, attemptKinds, createTargetAdmission,
} from '@catkindale/policy';
import {registerVerification} from './verification-registry.js';

type Request = AdmissionRequest & {readonly id: number};
type Started = {readonly request: Request; readonly target: string; readonly startedAt: number};
type State = 'waiting' | 'started' | 'refused' | 'aborted' | 'finished';

type Run = {
	readonly seed: number;
	readonly random: Random;
	readonly admission: TargetAdmission<Request>;
	readonly held: Map<string, number>;
	readonly states: Map<number, State>;
	readonly waiting: Map<number, Request>;
	readonly running: Started[];
	targets: ReadonlyArray<{readonly name: string; readonly region: string}>;
	now: number;
	created: number;
};

const steps = 400;
const regions = ['oslo', 'bergen', 'tromso'] as const;
const ownRegion = 'oslo';
const limits = {requestsPerCustomer: 8, requests: 24, bulkShare: 0.1};
const mostTargets = 12;
const longestStepMilliseconds = 40;
const longestDeadlineMilliseconds = 400;
const settleMilliseconds = 100_000;

registerVerification({
	name: 'target-choice',
	describe: 'admission to failing, slow, cold and leaving targets under random arrivals',
	run(seed) {
		const random = createRandom(seed);
		const run: Run = {
			seed,
			random,
			admission: createTargetAdmission({region: ownRegion, random: createRandom(seed + 1), limits}),
			held: new Map(),
			states: new Map(),
			waiting: new Map(),
			running: [],
			targets: [],
			now: 1,
			created: 0,
		};
		changeTargets(run);
		for (let step = 0; step < steps; step++) {
			run.now += random.integer(0, longestStepMilliseconds);
			runStep(run, random.integer(0, 19));
			dispatch(run);
			checkState(run);
		}

		settle(run);
	},
});

function runStep(run: Run, choice: number): void {
	switch (choice) {
		case 0: {
			changeTargets(run);
			return;
		}

		case 1: {
			changeHeld(run);
			return;
		}

		case 2: {
			abort(run);
			return;
		}

		case 3: {
			report(run);
			return;
		}

		default: {
			if (choice % 2 === 0) {
				offer(run);
			} else {
				finishOne(run);
			}
		}
	}
}

function offer(run: Run): void {
	const {random, admission} = run;
	const request: Request = {
		id: run.created,
		customer: `customer-${random.integer(0, 3)}`,
		weight: 1,
		class: random.integer(0, 4) === 0 ? 'bulk' : 'interactive',
		queuedAt: run.now,
		deadlineAt: run.now + random.integer(1, longestDeadlineMilliseconds),
		excluded: new Set(random.integer(0, 3) === 0 ? run.targets.slice(0, 2).map(target => target.name) : []),
	};
	run.created += 1;
	const answer = admission.offer(request, run.now);
	if (answer.kind === 'refused') {
		run.states.set(request.id, 'refused');
		return;
	}

	run.states.set(request.id, 'waiting');
	run.waiting.set(request.id, request);
	if (answer.displaced) {
		leave(run, answer.displaced, 'refused');
	}
}

function dispatch(run: Run): void {
	for (let step = run.admission.next(run.now); step; step = run.admission.next(run.now)) {
		takeStep(run, step);
	}
}

function takeStep(run: Run, step: AdmissionDecision<Request>): void {
	const {request} = step;
	switch (step.kind) {
		case 'refuse': {
			leave(run, request, 'refused');
			return;
		}

		case 'start': {
			leave(run, request, 'started');
			assertInvariant(run.now < request.deadlineAt, 'no request starts after its deadline', {seed: run.seed, id: request.id});
			assertInvariant(!request.excluded.has(step.target), 'no request starts at an excluded target', {seed: run.seed, id: request.id});
			assertInvariant(run.targets.some(target => target.name === step.target), 'no request starts at a target that has left', {seed: run.seed, target: step.target});
			run.running.push({request, target: step.target, startedAt: run.now});
			const inUse = run.running.filter(started => started.target === step.target).length;
			const held = run.held.get(step.target) ?? 0;
			assertInvariant(inUse <= held, 'slots in use stay within those held', {
				seed: run.seed, target: step.target, inUse, held,
			});
		}
	}
}

/** A request leaves the queue once. */
function leave(run: Run, request: Request, state: State): void {
	assertInvariant(run.states.get(request.id) === 'waiting', 'a request leaves the queue once', {seed: run.seed, id: request.id, state: run.states.get(request.id)});
	run.states.set(request.id, state);
	run.waiting.delete(request.id);
}

function finishOne(run: Run): void {
	const position = run.random.integer(0, Math.max(0, run.running.length - 1));
	const [started] = run.running.splice(position, 1);
	if (!started) {
		return;
	}

	const kind = attemptKinds[run.random.integer(0, attemptKinds.length - 1)] ?? 'answered';
	run.admission.finish(started.target, {kind, milliseconds: run.now - started.startedAt}, run.now);
	run.states.set(started.request.id, 'finished');
}

function abort(run: Run): void {
	const waiting = [...run.waiting.values()];
	const request = waiting[run.random.integer(0, Math.max(0, waiting.length - 1))];
	if (request) {
		assertInvariant(run.admission.cancel(request), 'a waiting request can be aborted', {seed: run.seed});
		leave(run, request, 'aborted');
	}
}

/** A target that leaves has its slots in use forgotten here, as the ledger counts them. */
function changeTargets(run: Run): void {
	const busy = new Set(run.running.map(started => started.target));
	const names = Array.from({length: run.random.integer(1, mostTargets)}, (_, index) => index);
	const kept = run.targets.filter(target => busy.has(target.name));
	const fresh = names.map(index => ({name: `target-${index}`, region: regions[index % regions.length] ?? 'oslo'}));
	run.targets = [...kept, ...fresh.filter(target => !kept.some(other => other.name === target.name))];
	run.admission.setTargets(run.targets, run.now);
	for (const target of run.targets) {
		setHeld(run, target.name, run.held.get(target.name) ?? run.random.integer(0, 3));
	}
}

function changeHeld(run: Run): void {
	const target = run.targets[run.random.integer(0, run.targets.length - 1)];
	if (target) {
		setHeld(run, target.name, run.random.integer(0, 3));
	}
}

function setHeld(run: Run, target: string, held: number): void {
	run.held.set(target, held);
	run.admission.chooser.setHeldSlots(target, held, run.now);
}

function report(run: Run): void {
	const target = run.targets[run.random.integer(0, run.targets.length - 1)];
	if (target) {
		const isHealthy = run.random.integer(0, 1) === 0;
		run.admission.chooser.report(target.name, {receivedAt: run.now, isHealthy, load: run.random.fraction() * 2}, run.now);
	}
}

function checkState(run: Run): void {
	assertInvariant(run.admission.getLength() === run.waiting.size, 'just the requests that wait are in the queue', {seed: run.seed});
	const isIdle = run.waiting.size > 0 && run.admission.chooser.hasFreeTarget(run.now);
	assertInvariant(!isIdle, 'no request waits while a target of the own region has a free slot', {seed: run.seed, waiting: run.waiting.size});
	for (const target of run.targets) {
		const state = run.admission.chooser.getState(target.name);
		const inUse = run.running.filter(started => started.target === target.name).length;
		assertInvariant(state?.inUse === inUse, 'the slots in use are counted exactly', {
			seed: run.seed, target: target.name, inUse, counted: state?.inUse,
		});
		assertInvariant((state?.usable ?? 0) <= (run.held.get(target.name) ?? 0), 'no more slots are usable than held', {seed: run.seed, target: target.name});
	}
}

/** Once nothing runs and nothing comes, every request has had its end. */
function settle(run: Run): void {
	while (run.running.length > 0) {
		finishOne(run);
	}

	run.now += settleMilliseconds;
	dispatch(run);
	assertInvariant(run.admission.getLength() === 0, 'no request waits past its deadline', {seed: run.seed, waiting: run.admission.getLength()});
	for (const [id, state] of run.states) {
		assertInvariant(state !== 'waiting', 'no request is lost', {seed: run.seed, id});
	}

	checkReturn(run);
}

/** Every target of the own region with a slot held gets work again once its pauses are over. */
function checkReturn(run: Run): void {
	while (run.admission.chooser.hasFreeTarget(run.now)) {
		offer(run);
		dispatch(run);
	}

	for (const target of run.targets) {
		const held = run.held.get(target.name) ?? 0;
		const isUsed = run.running.some(started => started.target === target.name);
		assertInvariant(isUsed || held === 0 || target.region !== ownRegion, 'a target gets work again after its pauses', {seed: run.seed, target: target.name, held});
	}
}
