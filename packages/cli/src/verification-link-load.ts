/**
 * Load on the links in the simulated fleet: request bodies of both classes
 * cross between regions in chunks. Bytes that were reserved arrive even if the
 * node that reserved them is paused or dead by then.
 */
import {
	type Configuration, type RequestClass, getLinkName, maximumLinkReadBytes, requestClasses,
} from '@catkindale/policy';
import {maximumBulkMilliseconds} from './verification-request-load.js';
import type {QuotaAuditor} from './verification-quota-auditor.js';
import type {SimulatedNode} from './verification-quota-node.js';
import type {World} from './verification-quota-world.js';

/** `links`: a few bodies stall, each for its own time. `silent-links`: many bodies stall and arrive all at once. */
export type LinkLoad = 'links' | 'silent-links';

type Links = Configuration['links'];

type LinkFleet = {
	readonly world: World;
	readonly auditor: QuotaAuditor;
	readonly configuration: {readonly configuration: Configuration};
	readonly load: LinkLoad | 'requests';
};

const minimumBytesPerSecond = 100_000;
const maximumBytesPerSecond = 4_000_000;
const minimumBurstBytes = 262_144;
const maximumBurstBytes = 2_000_000;
const maximumChunkMilliseconds = 400;
const normalMaximumTransferMilliseconds = 3000;
/** Fraction of the bodies that stall; a stalled body has the maximum time of a request. */
const stalledFractions = {links: 0.1, 'silent-links': 0.5, requests: 0};
/** On silent links, stalled chunks arrive at multiples of this period; meanwhile, other bodies can use the whole burst. */
const stallPeriodMilliseconds = maximumBulkMilliseconds;
const maximumChunks = 12;
const transfersPerBatch = 10;

/** Creates links in both directions between the first two regions, and one from the first to the third. */
export function createLinks({random}: World, [first = '', second = '', third = '']: readonly string[]): Links {
	const pairs = [[first, second], [second, first], [first, third]] as const;
	return pairs.map(([from, to]) => ({
		from,
		to,
		bytesPerSecond: random.integer(minimumBytesPerSecond, maximumBytesPerSecond),
		...(random.fraction() < 0.7 && {burstBytes: random.integer(minimumBurstBytes, maximumBurstBytes)}),
	}));
}

/** Starts one transfer, or a batch of them, on a random link of the node's region. */
export function startTransfers(fleet: LinkFleet, node: SimulatedNode): void {
	const {random} = fleet.world;
	const links = fleet.configuration.configuration.links.filter(link => link.from === node.region || link.to === node.region);
	const link = links[random.integer(0, links.length - 1)];
	const name = link && getLinkName(link);
	// A node without a configuration has no route either, so nothing is sent.
	if (name === undefined || !node.quotas.links.isLimited(name)) {
		return;
	}

	const count = random.fraction() < 0.2 ? transfersPerBatch : 1;
	for (let index = 0; index < count; index++) {
		const requestClass = requestClasses[random.integer(0, requestClasses.length - 1)]!;
		startTransfer(fleet, node, name, requestClass);
	}
}

function startTransfer({world, auditor, load}: LinkFleet, node: SimulatedNode, link: string, requestClass: RequestClass): void {
	const {random, after, now} = world;
	const transfer = node.quotas.links.openTransfer(link, requestClass);
	const isStalled = random.fraction() < stalledFractions[load];
	const maximumTransferMilliseconds = isStalled ? maximumBulkMilliseconds : normalMaximumTransferMilliseconds;
	const endsAt = now() + maximumTransferMilliseconds;
	let remainingChunks = random.integer(1, maximumChunks);
	let isReceiving = false;
	const end = (): void => {
		remainingChunks = 0;
		if (!isReceiving) {
			transfer.close();
		}
	};

	/** Reserved bytes arrive even if the node is paused or dead by then. */
	const receive = (bytes: number): void => {
		isReceiving = true;
		const remainingMilliseconds = endsAt - now();
		const delay = isStalled && load === 'silent-links'
			? Math.min(remainingMilliseconds, stallPeriodMilliseconds - (now() % stallPeriodMilliseconds))
			: random.integer(0, Math.min(isStalled ? maximumTransferMilliseconds : maximumChunkMilliseconds, remainingMilliseconds));
		after(delay, () => {
			auditor.recordTransfer(link, bytes);
			node.run(() => {
				isReceiving = false;
				transfer.consume(bytes);
				remainingChunks -= 1;
				reserveNext();
			});
		});
	};

	const reserveNext = (): void => {
		if (remainingChunks <= 0 || now() >= endsAt) {
			end();
			return;
		}

		transfer.reserve(maximumLinkReadBytes - transfer.getReserved(), isReserved => {
			if (!isReserved || now() >= endsAt) {
				end();
				return;
			}

			receive(random.integer(1, maximumLinkReadBytes));
		});
	};

	// A request that still waits for the link is abandoned at its deadline.
	after(maximumTransferMilliseconds, () => {
		node.run(end);
	});
	reserveNext();
}
