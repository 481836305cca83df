/**
 * The surroundings of the quotas' randomised run: simulated time, a lossy
 * channel between nodes, a table with outages and lost answers, and a lagging
 * list of VMs. All randomness comes from one seed.
 */
import type { Random } from '@catkindale/common';
import type { Row, TableService } from '@catkindale/platform';
export type World = {
    readonly random: Random;
    now: () => number;
    /** Called by an event that resolves a promise with several steps behind it. */
    settle: () => void;
    /** Runs the function after so many milliseconds of simulated time. */
    after: (milliseconds: number, run: () => void) => void;
    /** Runs all events up to the time; promises that they resolve go on in between. */
    runUntil: (time: number) => Promise<void>;
};
export declare function createWorld(random: Random): World;
export type FakeTable = {
    isDown: boolean;
    lostAnswerShare: number;
    readonly rows: Map<string, Row>;
    /** The table as one node reaches it; `deliver` runs what comes back on that node. */
    connect: (deliver: (run: () => void) => void, isReachable: () => boolean) => TableService;
};
export declare function createFakeTable(world: World): FakeTable;
