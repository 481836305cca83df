/** The context that each plug-in of a node receives when it starts. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Registry} from 'prom-client';
import type {Clock, Logger} from '@catkindale/common';
import {type MessageBus, createPluginRegistry} from '@catkindale/kernel';
import type {
	MachineList, ObjectStore, TableService, TargetHealthReader,
} from '@catkindale/ports';
import type {Member, PauseGuard} from '@catkindale/policy';
import type {CallerProfile} from './caller-profile.js';
import type {EventLoopMonitor} from './event-loop-monitor.js';
import type {InputErrors} from './input-errors.js';
import type {NodeMessage} from './node-messages.js';
import type {Settings} from './settings.js';
import type {TrialRecordStore} from './trial-record-store.js';
import type {VersionTrials} from './version-trials.js';

export type Platform = {
	readonly table: TableService;
	readonly objects: ObjectStore;
	readonly machines: MachineList;
	/** Absent if the health of targets isn't polled. */
	readonly targetHealth?: TargetHealthReader;
};

export type CallerHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** The request handlers of the caller port. Each is set by the plug-in that owns it. */
export type CallerHandlers = {
	directory?: CallerHandler;
	entry?: CallerHandler;
};

/** The addresses on which the node listens; each is empty until its socket is bound. */
export type BoundAddresses = {caller: string; peer: string; admin: string; metrics: string};

/** Connections that a test has cut on purpose; empty unless the settings allow cuts. */
export type Cuts = {peers: ReadonlySet<string>; isTableCut: boolean};

/** Publishes the traffic configuration, orders and targets on the bus until it is stopped. */
export type TrafficSource = (dependencies: Pick<NodeContext, 'bus' | 'clock' | 'logger' | 'metrics'>) => {stop: () => Promise<void>};

export type NodeContext = {
	readonly settings: Settings;
	readonly incarnation: string;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Registry;
	readonly inputErrors: InputErrors;
	readonly bus: MessageBus<NodeMessage>;
	readonly platform: Platform;
	/** The gateway's protocol with the callers and targets of the deployment. */
	readonly profile: CallerProfile;
	/** Absent if no adapter provides one. */
	readonly trafficSource?: TrafficSource | undefined;
	/** Absent if the trials of new versions aren't recorded. */
	readonly trialRecordStore?: TrialRecordStore | undefined;
	readonly eventLoopMonitor: EventLoopMonitor;
	readonly pauseGuard: PauseGuard;
	/** Reads the clocks; to be called before acting on what may have run out during a pause. */
	readonly observePause: () => void;
	/** The trials of new versions on this gateway. */
	readonly trials: VersionTrials;
	readonly callerHandlers: CallerHandlers;
	readonly boundAddresses: BoundAddresses;
	readonly cuts: Cuts;
};

/** The registry of plug-ins; each registers when its module is loaded. */
export const nodePlugins = createPluginRegistry<NodeContext>();

/** This node as a member of the fleet. */
export function getOwnMember(context: NodeContext): Member {
	const {name, region, zone} = context.settings.node;
	return {
		id: name,
		incarnation: context.incarnation,
		region,
		zone,
		callerAddress: context.boundAddresses.caller,
		peerAddress: context.boundAddresses.peer,
		state: 'live',
		isEntry: context.settings.node.roles.includes('entry'),
	};
}
