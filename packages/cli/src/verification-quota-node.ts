/** A simulated node for the verifications of quotas. It runs the production code of quotas, ledger and membership. */
import type {Clock} from '@catkindale/common';
import {createMessageBus} from '@catkindale/kernel';
import {
	createMembership, createNodeQuotas, type NodeMessage, type NodeQuotas,
} from '@catkindale/node';
import type {VersionedConfiguration} from '@catkindale/policy';
import type {PeerMessage} from '@catkindale/protocol';
import type {FakeTable, World} from './verification-quota-world.js';

/**
 * The waits that keep the fleet within its quotas. Their relations are those of production, such as a lease that ends
 * before its allocation is reused. A test switches one off to show that the verification finds the violation.
 */
export type QuotaTiming = {
	readonly leaseMilliseconds: number;
	readonly pauseLimitMilliseconds: number;
	readonly unresponsiveMilliseconds: number;
	readonly leaseExpiryMilliseconds: number;
	readonly maximumRequestMilliseconds: number;
	/** Increases allocations without waiting for the members to agree. */
	readonly isIncreasingWithoutAgreement: boolean;
};

/** Short, so that the run also fences members because of an incomplete machine list. */
const incompleteListMilliseconds = 3000;

export type SimulatedNode = {
	readonly id: string;
	readonly region: string;
	readonly incarnation: string;
	readonly quotas: NodeQuotas;
	isAlive: boolean;
	isPaused: boolean;
	version: number;
	configure: (configuration: VersionedConfiguration) => void;
	setListed: (ids: ReadonlySet<string>) => void;
	receive: (from: string, message: PeerMessage) => void;
	/** Runs the function on the node: now, after its pause, or never if it is dead. */
	run: (action: () => void) => void;
	/** Resumes after a pause, during which the monotonic clock may have stopped for some time. `runBeforeDeferred` runs before the actions deferred by the pause. */
	resume: (stoppedMilliseconds: number, runBeforeDeferred: () => void) => void;
	leave: () => void;
};

type StoppableClock = Clock & {stopFor: (milliseconds: number) => void};

export type SimulatedNodeOptions = {
	readonly world: World;
	readonly table: FakeTable;
	readonly id: string;
	readonly region: string;
	readonly incarnation: string;
	readonly timing: QuotaTiming;
	readonly send: (to: string, message: PeerMessage) => void;
	readonly isTableReachable: () => boolean;
};

const pollMilliseconds = 500;
const tickMilliseconds = 250;
const maximumClockOriginMilliseconds = 1_000_000;
const maximumClockRateError = 0.001;

export function createSimulatedNode(options: SimulatedNodeOptions): SimulatedNode {
	const {world, timing, id, region} = options;
	const bus = createMessageBus<NodeMessage>();
	const clock = createSkewedClock(world);
	const quotas = createNodeQuotas({
		ownId: id,
		zone: `${region}-a`,
		region,
		incarnation: options.incarnation,
		clock,
		bus,
		leaseMilliseconds: timing.leaseMilliseconds,
		pauseLimitMilliseconds: timing.pauseLimitMilliseconds,
		schedule(run, milliseconds) {
			let isScheduled = true;
			world.after(milliseconds, () => {
				node.run(() => {
					if (isScheduled) {
						run();
					}
				});
			});
			return () => {
				isScheduled = false;
			};
		},
	});
	let deferred: Array<() => void> = [];
	const node: SimulatedNode = {
		id,
		region,
		incarnation: options.incarnation,
		quotas,
		isAlive: true,
		isPaused: false,
		version: 0,
		configure(configuration) {
			if (configuration.version <= node.version) {
				return;
			}

			node.version = configuration.version;
			bus.publish({type: 'configuration-changed', ...configuration});
			increaseWithoutAgreement();
		},
		setListed(ids) {
			membership.setListedMachines(ids);
		},
		receive(from, message) {
			bus.publish({type: 'peer-received', from, message});
		},
		run(action) {
			if (!node.isAlive) {
				return;
			}

			if (node.isPaused) {
				deferred.push(action);
				return;
			}

			action();
		},
		resume(stoppedMilliseconds, runBeforeDeferred) {
			clock.stopFor(stoppedMilliseconds);
			node.isPaused = false;
			runBeforeDeferred();
			const actions = deferred;
			deferred = [];
			for (const action of actions) {
				node.run(action);
			}
		},
		leave() {
			void membership.leave();
		},
	};
	const increaseWithoutAgreement = (): void => {
		if (timing.isIncreasingWithoutAgreement) {
			quotas.requests.increaseAllocations();
			quotas.slots.increaseAllocations(new Set());
			quotas.links.increaseAllocations(new Set());
		}
	};

	const membership = createMembership({
		table: options.table.connect(node.run, options.isTableReachable),
		ledger: quotas.ledger,
		getOwnMember: () => ({
			id, incarnation: options.incarnation, region, zone: `${region}-a`, callerAddress: '', peerAddress: '', state: 'live',
		}),
		clock: quotas.clock,
		limits: {
			unresponsiveMilliseconds: timing.unresponsiveMilliseconds,
			leaseExpiryMilliseconds: timing.leaseExpiryMilliseconds,
			getMaximumRequestMilliseconds: () => timing.maximumRequestMilliseconds,
			incompleteListMilliseconds,
		},
	});
	bus.subscribe('peer-send', ({to, message}) => {
		options.send(to, message);
	});
	bus.subscribe('membership-changed', increaseWithoutAgreement);
	const poll = (): void => {
		node.run(() => {
			void pollAgain();
		});
	};

	const pollAgain = async (): Promise<void> => {
		await membership.poll();
		world.after(pollMilliseconds, poll);
	};

	let isReportTick = false;
	const tick = (): void => {
		node.run(() => {
			isReportTick = !isReportTick;
			quotas.ledger.tick(isReportTick);
			world.after(tickMilliseconds, tick);
		});
	};

	poll();
	world.after(world.random.integer(0, tickMilliseconds), tick);
	return node;
}

/** Creates a node's clock; the clocks differ in their origin and slightly in their rate. */
function createSkewedClock({random, now}: World): StoppableClock {
	const origin = random.integer(0, maximumClockOriginMilliseconds);
	const rate = 1 + (maximumClockRateError * ((random.fraction() * 2) - 1));
	let stoppedMilliseconds = 0;
	return {
		stopFor(milliseconds) {
			stoppedMilliseconds += milliseconds;
		},
		monotonic: () => origin + ((now() - stoppedMilliseconds) * rate),
		wall: () => maximumClockOriginMilliseconds + origin + (now() * rate),
	};
}
