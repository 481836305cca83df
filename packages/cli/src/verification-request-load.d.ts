/** The requests' part of the quotas' randomised run: callers that ask for more than they may have. */
import type { QuotaCount } from './verification-quota-count.js';
import type { SimulatedNode } from './verification-quota-node.js';
import type { World } from './verification-quota-world.js';
type RequestFleet = {
    readonly world: World;
    readonly count: QuotaCount;
};
export declare const targets: string[];
export declare const customers: string[];
/** Longer than a loan of slots lasts unless a request needs more. */
export declare const longestBulkMilliseconds = 20000;
/** Sends one request or a bunch of them to a node, of one customer and for one target. */
export declare function sendRequests(fleet: RequestFleet, node: SimulatedNode | undefined): void;
/** Sends one request of each customer, and one for each target. */
export declare function sendEverywhere(fleet: RequestFleet, node: SimulatedNode): void;
export {};
