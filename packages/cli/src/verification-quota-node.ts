/** One simulated node of the quotas' randomised run, with the product's own quota code. */
import type {Clock} from '@catkindale/common';
import {createMessageBus} from '@catkindale/kernel';
import {
	createMembership, createNodeQuotas, type NodeMessage, type NodeQuotas,
} from '@catkindale/node';
import type {VersionedConfiguration} from '@catkindale/policy';
import type {PeerMessage} from '@catkindale/protocol';
import type {FakeTable, World} from './verification-quota-world.js';

/** Each limit is what the product's own waits come to; a trial may switch one off. */
export type QuotaTiming = {
	readonly leaseMilliseconds: number;
	readonly pauseLimitMilliseconds: number;
	readonly silenceMilliseconds: number;
	readonly expiryMilliseconds: number;
	readonly requestMilliseconds: number;
	/** Raises floors without waiting for the members to agree. */
	readonly isRaisingAlone: boolean;
};

/** Short, so that the run also fences members by such a list. */
const shortListMilliseconds = 3000;

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
	/** Goes on after a pause; the monotonic clock may have stood still for some of it. */
	resume: (frozenMilliseconds: number, runFirst: () => void) => void;
	leave: () => void;
};

type FreezableClock = Clock & {freeze: (milliseconds: number) => void};

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
const farthestClockMilliseconds = 1_000_000;
const largestClockError = 0.001;

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
			let isWanted = true;
			world.after(milliseconds, () => {
				node.run(() => {
					if (isWanted) {
						run();
					}
				});
			});
			return () => {
				isWanted = false;
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
			raiseAlone();
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
		resume(frozenMilliseconds, runFirst) {
			clock.freeze(frozenMilliseconds);
			node.isPaused = false;
			runFirst();
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
	const raiseAlone = (): void => {
		if (timing.isRaisingAlone) {
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
			unresponsiveMilliseconds: timing.silenceMilliseconds,
			leaseExpiryMilliseconds: timing.expiryMilliseconds,
			getMaximumRequestMilliseconds: () => timing.requestMilliseconds,
			incompleteListMilliseconds: shortListMilliseconds,
		},
	});
	bus.subscribe('peer-send', ({to, message}) => {
		options.send(to, message);
	});
	bus.subscribe('membership-changed', raiseAlone);
	const poll = (): void => {
		node.run(() => {
			void pollAgain();
		});
	};

	const pollAgain = async (): Promise<void> => {
		await membership.poll();
		world.after(pollMilliseconds, poll);
	};

	let isReportDue = false;
	const tick = (): void => {
		node.run(() => {
			isReportDue = !isReportDue;
			quotas.ledger.tick(isReportDue);
			world.after(tickMilliseconds, tick);
		});
	};

	poll();
	world.after(world.random.integer(0, tickMilliseconds), tick);
	return node;
}

/** Clocks of nodes differ in their origin and slightly in their rate. */
function createSkewedClock({random, now}: World): FreezableClock {
	const origin = random.integer(0, farthestClockMilliseconds);
	const rate = 1 + (largestClockError * ((random.fraction() * 2) - 1));
	let frozen = 0;
	return {
		freeze(milliseconds) {
			frozen += milliseconds;
		},
		monotonic: () => origin + ((now() - frozen) * rate),
		wall: () => farthestClockMilliseconds + origin + (now() * rate),
	};
}
