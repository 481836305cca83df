import { type NodeQuotas } from '@catkindale/node';
import type { VersionedConfiguration } from '@catkindale/policy';
import type { PeerMessage } from '@catkindale/protocol';
import type { FakeTable, World } from './verification-quota-world.js';
/** Each limit is what the product's own waits come to; a trial may switch one off. */
export type QuotaTiming = {
    readonly leaseMilliseconds: number;
    readonly pauseLimitMilliseconds: number;
    readonly silenceMilliseconds: number;
    readonly expiryMilliseconds: number;
    readonly requestMilliseconds: number;
    /** Raises floors without waiting for the members to agree. */
    readonly isRaisingAlone: boolean;
};
export type SimulatedNode = {
    readonly id: string;
    readonly region: string;
    readonly incarnation: string;
    readonly quotas: NodeQuotas;
    isAlive: boolean;
    isPaused: boolean;
    version: number;
    configure: (configuration: VersionedConfiguration) => void;
    setListed: (ids: ReadonlySet<string>) => void;
    receive: (from: string, message: PeerMessage) => void;
    /** Runs the function on the node: now, after its pause, or never if it is dead. */
    run: (action: () => void) => void;
    /** Goes on after a pause; the monotonic clock may have stood still for some of it. */
    resume: (frozenMilliseconds: number, runFirst: () => void) => void;
    leave: () => void;
};
export type SimulatedNodeOptions = {
    readonly world: World;
    readonly table: FakeTable;
    readonly id: string;
    readonly region: string;
    readonly incarnation: string;
    readonly timing: QuotaTiming;
    readonly send: (to: string, message: PeerMessage) => void;
    readonly isTableReachable: () => boolean;
};
export declare function createSimulatedNode(options: SimulatedNodeOptions): SimulatedNode;
