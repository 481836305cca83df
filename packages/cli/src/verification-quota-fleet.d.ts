import { type QuotaCount } from './verification-quota-count.js';
import { type QuotaTiming } from './verification-quota-node.js';
export declare const productTiming: QuotaTiming;
/** What callers ask of the nodes: requests at their targets, or bodies that cross between regions. */
export type FleetLoad = 'requests' | 'links';
/** Runs one fleet; throws an InvariantError when a limit is exceeded. Returns what was admitted and started. */
export declare function runQuotaFleet(seed: number, timing?: QuotaTiming, load?: FleetLoad): Promise<QuotaCount['totals']>;
