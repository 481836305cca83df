import type { RequestFloor } from '@catkindale/policy';
export type IdealBuckets = {
    /** Takes tokens, and returns what is left; below 0, the nodes have given out too much. */
    take: (name: string, tokens: number) => number;
    /** Fills all buckets before the limits change. */
    fillAll: () => void;
};
export declare function createIdealBuckets(getLimits: () => ReadonlyMap<string, RequestFloor>, now: () => number): IdealBuckets;
