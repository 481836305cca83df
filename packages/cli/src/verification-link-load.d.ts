/**
 * The links' part of the quotas' randomised run: bodies of both classes that
 * cross between regions in parts, whatever becomes of the node that reserved.
 */
import { type Configuration } from '@catkindale/policy';
import type { QuotaCount } from './verification-quota-count.js';
import type { SimulatedNode } from './verification-quota-node.js';
import type { World } from './verification-quota-world.js';
type Links = Configuration['links'];
type LinkFleet = {
    readonly world: World;
    readonly count: QuotaCount;
    readonly configuration: {
        readonly configuration: Configuration;
    };
};
/** Links both ways between the first two regions, and one way to the third. */
export declare function createLinks({ random }: World, [first, second, third]: readonly string[]): Links;
/** Begins bodies on the links of the node's region. */
export declare function startTransfers(fleet: LinkFleet, node: SimulatedNode): void;
export {};
