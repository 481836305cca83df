import type { NodeQuotas } from '@catkindale/node';
import { type Configuration } from '@catkindale/policy';
export type QuotaCount = {
    /** Notes which versions are in force on some node now; the largest limits among them count. */
    setVersions: (versions: ReadonlySet<number>) => void;
    addVersion: (version: number, configuration: Configuration) => void;
    admit: (customer: string) => void;
    /** Bytes cross the link. */
    cross: (link: string, bytes: number) => void;
    start: (target: string) => void;
    finish: (target: string) => void;
    /** Checks what all nodes together could give out at this instant. */
    checkHeld: (held: readonly NodeQuotas[]) => void;
    readonly totals: {
        admitted: number;
        started: number;
        crossed: number;
    };
};
export declare function createQuotaCount(seed: number, now: () => number): QuotaCount;
