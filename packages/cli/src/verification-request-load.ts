/** Request load on the simulated fleet: callers send more than the quotas and slots admit. */
import type {QuotaAuditor} from './verification-quota-auditor.js';
import type {SimulatedNode} from './verification-quota-node.js';
import type {World} from './verification-quota-world.js';

type RequestFleet = {readonly world: World; readonly auditor: QuotaAuditor};

export const targets = ['pricing-1', 'pricing-2'];
export const customers = ['large', 'small'];
/** Longer than the usual duration of a slot loan, so that some requests need an extended one. */
export const maximumBulkMilliseconds = 20_000;

const maximumRequestMilliseconds = 3000;
const bulkFraction = 0.01;

/** Sends one request or a batch of 20 to a node, from one customer and for one target. */
export function sendRequests(fleet: RequestFleet, node: SimulatedNode | undefined): void {
	const {random, now} = fleet.world;
	const customer = customers[random.integer(0, customers.length - 1)] ?? '';
	const target = targets[random.integer(0, targets.length - 1)] ?? '';
	const count = random.fraction() < 0.1 ? 20 : 1;
	for (let index = 0; node?.isAlive && !node.isPaused && index < count; index++) {
		if (random.fraction() < 0.5) {
			void waitForToken(fleet, node, customer);
		} else if (node.quotas.requests.admit(customer).kind === 'admitted') {
			fleet.auditor.recordAdmission(customer);
		}

		startRequest(fleet, node, target, now());
	}
}

async function waitForToken(fleet: RequestFleet, node: SimulatedNode, customer: string): Promise<void> {
	const admission = await node.quotas.requests.admitOrWait(customer);
	if (admission.kind === 'admitted') {
		fleet.auditor.recordAdmission(customer);
	}
}

/** Starts a request if a slot is free. It occupies the target until it ends, even if the node stops or pauses before. */
function startRequest(fleet: RequestFleet, node: SimulatedNode, target: string, startedAt: number): void {
	const {random, after, now} = fleet.world;
	const maximumMilliseconds = random.fraction() < bulkFraction ? maximumBulkMilliseconds : maximumRequestMilliseconds;
	const isLong = maximumMilliseconds === maximumBulkMilliseconds || random.fraction() < 0.2;
	const milliseconds = random.integer(1, isLong ? maximumMilliseconds : 200);
	const deadlineAt = node.quotas.clock.monotonic() + maximumMilliseconds;
	if (!node.quotas.slots.take(target, deadlineAt)) {
		return;
	}

	fleet.auditor.recordStart(target);
	after(milliseconds - (now() - startedAt), () => {
		fleet.auditor.recordFinish(target);
		node.run(() => {
			node.quotas.slots.release(target);
		});
	});
}

/** Sends one request for each customer and one for each target. */
export function sendOnePerCustomerAndTarget(fleet: RequestFleet, node: SimulatedNode): void {
	for (const customer of node.isAlive ? customers : []) {
		if (node.quotas.requests.admit(customer).kind === 'admitted') {
			fleet.auditor.recordAdmission(customer);
		}
	}

	for (const target of node.isAlive ? targets : []) {
		startRequest(fleet, node, target, fleet.world.now());
	}
}
