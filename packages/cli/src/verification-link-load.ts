/**
 * The links' part of the quotas' randomised run: bodies of both classes that
 * cross between regions in parts, whatever becomes of the node that reserved.
 */
import {
	type Configuration, type RequestClass, getLinkName, maximumLinkReadBytes, requestClasses,
} from '@catkindale/policy';
import {longestBulkMilliseconds} from './verification-request-load.js';
import type {QuotaCount} from './verification-quota-count.js';
import type {SimulatedNode} from './verification-quota-node.js';
import type {World} from './verification-quota-world.js';

/** Whether a few bodies stall, each for a time of its own, or many, which come all at once when their link has been silent. */
export type LinkLoad = 'links' | 'silent-links';

type Links = Configuration['links'];

type LinkFleet = {
	readonly world: World;
	readonly count: QuotaCount;
	readonly configuration: {readonly configuration: Configuration};
	readonly load: LinkLoad | 'requests';
};

const slowestBytesPerSecond = 100_000;
const fastestBytesPerSecond = 4_000_000;
const smallestBurstBytes = 262_144;
const largestBurstBytes = 2_000_000;
const longestPartMilliseconds = 400;
const usualTransferMilliseconds = 3000;
/** Bodies that stall have the longest time that a request may take. */
const stalledShares = {links: 0.1, 'silent-links': 0.5, requests: 0};
/** What stalls on a silent link comes at these times, in the meantime the rest may use up all that there is. */
const silenceMilliseconds = longestBulkMilliseconds;
const mostParts = 12;
const mostTransfersAtOnce = 10;

/** Links both ways between the first two regions, and one way to the third. */
export function createLinks({random}: World, [first = '', second = '', third = '']: readonly string[]): Links {
	const pairs = [[first, second], [second, first], [first, third]] as const;
	return pairs.map(([from, to]) => ({
		from,
		to,
		bytesPerSecond: random.integer(slowestBytesPerSecond, fastestBytesPerSecond),
		...(random.fraction() < 0.7 && {burstBytes: random.integer(smallestBurstBytes, largestBurstBytes)}),
	}));
}

/** Begins bodies on the links of the node's region. */
export function startTransfers(fleet: LinkFleet, node: SimulatedNode): void {
	const {random} = fleet.world;
	const links = fleet.configuration.configuration.links.filter(link => link.from === node.region || link.to === node.region);
	const link = links[random.integer(0, links.length - 1)];
	const name = link && getLinkName(link);
	// A node without a configuration has no route either.
	if (name === undefined || !node.quotas.links.isLimited(name)) {
		return;
	}

	const bunch = random.fraction() < 0.2 ? mostTransfersAtOnce : 1;
	for (let index = 0; index < bunch; index++) {
		const requestClass = requestClasses[random.integer(0, requestClasses.length - 1)]!;
		startTransfer(fleet, node, name, requestClass);
	}
}

function startTransfer({world, count, load}: LinkFleet, node: SimulatedNode, link: string, requestClass: RequestClass): void {
	const {random, after, now} = world;
	const transfer = node.quotas.links.openTransfer(link, requestClass);
	const isStalled = random.fraction() < stalledShares[load];
	const longestTransferMilliseconds = isStalled ? longestBulkMilliseconds : usualTransferMilliseconds;
	const endsAt = now() + longestTransferMilliseconds;
	let parts = random.integer(1, mostParts);
	let isComing = false;
	const end = (): void => {
		parts = 0;
		if (!isComing) {
			transfer.close();
		}
	};

	/** Bytes that were let come do come, though the node may be paused or dead by then. */
	const receive = (bytes: number): void => {
		isComing = true;
		const left = endsAt - now();
		const delay = isStalled && load === 'silent-links'
			? Math.min(left, silenceMilliseconds - (now() % silenceMilliseconds))
			: random.integer(0, Math.min(isStalled ? longestTransferMilliseconds : longestPartMilliseconds, left));
		after(delay, () => {
			count.cross(link, bytes);
			node.run(() => {
				isComing = false;
				transfer.consume(bytes);
				parts -= 1;
				reserveNext();
			});
		});
	};

	const reserveNext = (): void => {
		if (parts <= 0 || now() >= endsAt) {
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

	// A request that waits for the link is given up at its deadline.
	after(longestTransferMilliseconds, () => {
		node.run(end);
	});
	reserveNext();
}
