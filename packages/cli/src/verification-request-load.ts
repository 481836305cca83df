/** The requests' part of the quotas' randomised run: callers that ask for more than they may have. */
import type {QuotaCount} from './verification-quota-count.js';
import type {SimulatedNode} from './verification-quota-node.js';
import type {World} from './verification-quota-world.js';

type RequestFleet = {readonly world: World; readonly count: QuotaCount};

export const targets = ['pricing-1', 'pricing-2'];
export const customers = ['large', 'small'];
/** Longer than a loan of slots lasts unless a request needs more. */
export const longestBulkMilliseconds = 20_000;

const longestRequestMilliseconds = 3000;
const bulkShare = 0.01;

/** Sends one request or a bunch of them to a node, of one customer and for one target. */
export function sendRequests(fleet: RequestFleet, node: SimulatedNode | undefined): void {
	const {random, now} = fleet.world;
	const customer = customers[random.integer(0, customers.length - 1)] ?? '';
	const target = targets[random.integer(0, targets.length - 1)] ?? '';
	const bunch = random.fraction() < 0.1 ? 20 : 1;
	for (let index = 0; node?.isAlive && !node.isPaused && index < bunch; index++) {
		if (random.fraction() < 0.5) {
			void waitForToken(fleet, node, customer);
		} else if (node.quotas.requests.admit(customer).kind === 'admitted') {
			fleet.count.admit(customer);
		}

		startRequest(fleet, node, target, now());
	}
}

async function waitForToken(fleet: RequestFleet, node: SimulatedNode, customer: string): Promise<void> {
	const admission = await node.quotas.requests.admitOrWait(customer);
	if (admission.kind === 'admitted') {
		fleet.count.admit(customer);
	}
}

/** A request runs at the target until it ends, whatever becomes of the node. */
function startRequest(fleet: RequestFleet, node: SimulatedNode, target: string, startedAt: number): void {
	const {random, after, now} = fleet.world;
	const longestMilliseconds = random.fraction() < bulkShare ? longestBulkMilliseconds : longestRequestMilliseconds;
	const isLong = longestMilliseconds === longestBulkMilliseconds || random.fraction() < 0.2;
	const milliseconds = random.integer(1, isLong ? longestMilliseconds : 200);
	const deadlineAt = node.quotas.clock.monotonic() + longestMilliseconds;
	if (!node.quotas.slots.take(target, deadlineAt)) {
		return;
	}

	fleet.count.start(target);
	after(milliseconds - (now() - startedAt), () => {
		fleet.count.finish(target);
		node.run(() => {
			node.quotas.slots.release(target);
		});
	});
}

/** Sends one request of each customer, and one for each target. */
export function sendEverywhere(fleet: RequestFleet, node: SimulatedNode): void {
	for (const customer of node.isAlive ? customers : []) {
		if (node.quotas.requests.admit(customer).kind === 'admitted') {
			fleet.count.admit(customer);
		}
	}

	for (const target of node.isAlive ? targets : []) {
		startRequest(fleet, node, target, fleet.world.now());
	}
}
