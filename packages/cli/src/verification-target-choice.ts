/**
 * Randomised verification of admission to targets: a target never uses more
 * slots than the node holds, no request is lost or started twice, excluded and
 * removed targets get no requests, and aborted requests leave no state behind.
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
	readonly heldSlots: Map<string, number>;
	readonly states: Map<number, State>;
	readonly waiting: Map<number, Request>;
	readonly running: Started[];
	targets: ReadonlyArray<{readonly name: string; readonly region: string}>;
	now: number;
	created: number;
};

const steps = 400;
const regions = ['oslo', 'bergen', 'tromso'] as const;
const localRegion = 'oslo';
const limits = {requestsPerCustomer: 8, requests: 24, bulkShare: 0.1};
const maximumTargets = 12;
const maximumStepMilliseconds = 40;
const maximumDeadlineMilliseconds = 400;
const settleMilliseconds = 100_000;

registerVerification({
	name: 'target-choice',
	describe: 'admission to failing, slow, cold and removed targets under random arrivals',
	run(seed) {
		const random = createRandom(seed);
		const run: Run = {
			seed,
			random,
			admission: createTargetAdmission({region: localRegion, random: createRandom(seed + 1), limits}),
			heldSlots: new Map(),
			states: new Map(),
			waiting: new Map(),
			running: [],
			targets: [],
			now: 1,
			created: 0,
		};
		changeTargets(run);
		for (let step = 0; step < steps; step++) {
			run.now += random.integer(0, maximumStepMilliseconds);
			runStep(run, random.integer(0, 19));
			dispatch(run);
			checkState(run);
		}

		finishAll(run);
	},
});

function runStep(run: Run, choice: number): void {
	switch (choice) {
		case 0: {
			changeTargets(run);
			return;
		}

		case 1: {
			changeHeldSlots(run);
			return;
		}

		case 2: {
			abortOne(run);
			return;
		}

		case 3: {
			reportLoad(run);
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
		deadlineAt: run.now + random.integer(1, maximumDeadlineMilliseconds),
		excluded: new Set(random.integer(0, 3) === 0 ? run.targets.slice(0, 2).map(target => target.name) : []),
	};
	run.created += 1;
	const result = admission.offer(request, run.now);
	if (result.kind === 'refused') {
		run.states.set(request.id, 'refused');
		return;
	}

	run.states.set(request.id, 'waiting');
	run.waiting.set(request.id, request);
	if (result.displaced) {
		leaveQueue(run, result.displaced, 'refused');
	}
}

function dispatch(run: Run): void {
	for (let decision = run.admission.next(run.now); decision; decision = run.admission.next(run.now)) {
		applyDecision(run, decision);
	}
}

function applyDecision(run: Run, decision: AdmissionDecision<Request>): void {
	const {request} = decision;
	switch (decision.kind) {
		case 'refuse': {
			leaveQueue(run, request, 'refused');
			return;
		}

		case 'start': {
			leaveQueue(run, request, 'started');
			assertInvariant(run.now < request.deadlineAt, 'no request starts after its deadline', {seed: run.seed, id: request.id});
			assertInvariant(!request.excluded.has(decision.target), 'no request starts at an excluded target', {seed: run.seed, id: request.id});
			assertInvariant(run.targets.some(target => target.name === decision.target), 'no request starts at a removed target', {seed: run.seed, target: decision.target});
			run.running.push({request, target: decision.target, startedAt: run.now});
			const inUse = run.running.filter(started => started.target === decision.target).length;
			const held = run.heldSlots.get(decision.target) ?? 0;
			assertInvariant(inUse <= held, 'slots in use stay within the slots held', {
				seed: run.seed, target: decision.target, inUse, held,
			});
		}
	}
}

/** Moves a request from waiting to another state, and asserts that it was still waiting. */
function leaveQueue(run: Run, request: Request, state: State): void {
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

function abortOne(run: Run): void {
	const waiting = [...run.waiting.values()];
	const request = waiting[run.random.integer(0, Math.max(0, waiting.length - 1))];
	if (request) {
		assertInvariant(run.admission.cancel(request), 'a waiting request can be aborted', {seed: run.seed});
		leaveQueue(run, request, 'aborted');
	}
}

/**
 * Replaces the targets. Admission forgets the slots in use of a removed target,
 * which the ledger counts instead, so targets with requests in flight stay.
 */
function changeTargets(run: Run): void {
	const busy = new Set(run.running.map(started => started.target));
	const indexes = Array.from({length: run.random.integer(1, maximumTargets)}, (_, index) => index);
	const kept = run.targets.filter(target => busy.has(target.name));
	const added = indexes.map(index => ({name: `target-${index}`, region: regions[index % regions.length] ?? 'oslo'}));
	run.targets = [...kept, ...added.filter(target => !kept.some(other => other.name === target.name))];
	run.admission.setTargets(run.targets, run.now);
	for (const target of run.targets) {
		setHeldSlots(run, target.name, run.heldSlots.get(target.name) ?? run.random.integer(0, 3));
	}
}

function changeHeldSlots(run: Run): void {
	const target = run.targets[run.random.integer(0, run.targets.length - 1)];
	if (target) {
		setHeldSlots(run, target.name, run.random.integer(0, 3));
	}
}

function setHeldSlots(run: Run, target: string, held: number): void {
	run.heldSlots.set(target, held);
	run.admission.chooser.setHeldSlots(target, held, run.now);
}

function reportLoad(run: Run): void {
	const target = run.targets[run.random.integer(0, run.targets.length - 1)];
	if (target) {
		const isHealthy = run.random.integer(0, 1) === 0;
		run.admission.chooser.report(target.name, {receivedAt: run.now, isHealthy, load: run.random.fraction() * 2}, run.now);
	}
}

function checkState(run: Run): void {
	assertInvariant(run.admission.getLength() === run.waiting.size, 'the queue holds exactly the waiting requests', {seed: run.seed});
	const isIdle = run.waiting.size > 0 && run.admission.chooser.hasFreeTarget(run.now);
	assertInvariant(!isIdle, 'no request waits while a target of the local region has a free slot', {seed: run.seed, waiting: run.waiting.size});
	for (const target of run.targets) {
		const state = run.admission.chooser.getState(target.name);
		const inUse = run.running.filter(started => started.target === target.name).length;
		assertInvariant(state?.inUse === inUse, 'the counted slots in use match the requests in flight', {
			seed: run.seed, target: target.name, inUse, counted: state?.inUse,
		});
		assertInvariant((state?.usable ?? 0) <= (run.heldSlots.get(target.name) ?? 0), 'usable slots stay within the slots held', {seed: run.seed, target: target.name});
	}
}

/** Finishes all running requests, passes all deadlines, and asserts that every request has reached a final state. */
function finishAll(run: Run): void {
	while (run.running.length > 0) {
		finishOne(run);
	}

	run.now += settleMilliseconds;
	dispatch(run);
	assertInvariant(run.admission.getLength() === 0, 'no request waits past its deadline', {seed: run.seed, waiting: run.admission.getLength()});
	for (const [id, state] of run.states) {
		assertInvariant(state !== 'waiting', 'no request is lost', {seed: run.seed, id});
	}

	checkTargetsResume(run);
}

/** Asserts that every target of the local region with a slot held gets requests again once its pauses are over. */
function checkTargetsResume(run: Run): void {
	while (run.admission.chooser.hasFreeTarget(run.now)) {
		offer(run);
		dispatch(run);
	}

	for (const target of run.targets) {
		const held = run.heldSlots.get(target.name) ?? 0;
		const isUsed = run.running.some(started => started.target === target.name);
		assertInvariant(isUsed || held === 0 || target.region !== localRegion, 'a target gets requests again after its pauses', {seed: run.seed, target: target.name, held});
	}
}
