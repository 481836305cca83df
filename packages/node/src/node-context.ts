/** What each plug-in of a node gets at its start. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Registry} from 'prom-client';
import type {Clock, Logger} from '@catkindale/common';
import {type MessageBus, createPluginRegistry} from '@catkindale/kernel';
import type {
	MachineList, ObjectStore, TableService, TargetHealthReader,
} from '@catkindale/ports';
import type {Member} from '@catkindale/policy';
import type {CallerProfile} from './caller-profile.js';
import type {EventLoopMonitor} from './event-loop-monitor.js';
import type {NodeMessage} from './node-messages.js';
import type {Settings} from './settings.js';
import type {TrialRecordStore} from './trial-record-store.js';
import type {VersionTrials} from './version-trials.js';

export type Platform = {
	readonly table: TableService;
	readonly objects: ObjectStore;
	readonly machines: MachineList;
	/** Absent when targets aren't asked for their health. */
	readonly targetHealth?: TargetHealthReader;
};

export type CallerHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** The handlers behind the caller port; each is set by the plug-in that owns it. */
export type CallerHandlers = {
	directory?: CallerHandler;
	entry?: CallerHandler;
};

/** Addresses in use, known once the sockets listen. */
export type BoundAddresses = {caller: string; peer: string; admin: string; metrics: string};

/** Connections that a test cut on purpose; empty unless the settings allow cuts. */
export type Cuts = {peers: ReadonlySet<string>; isTableCut: boolean};

/** Publishes the traffic's configuration, orders and targets on the bus until it is stopped. */
export type TrafficSource = (parts: Pick<NodeContext, 'bus' | 'logger'>) => {stop: () => Promise<void>};

export type NodeContext = {
	readonly settings: Settings;
	readonly incarnation: string;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Registry;
	readonly bus: MessageBus<NodeMessage>;
	readonly platform: Platform;
	/** How callers and targets of the deployment speak; used by the gateway. */
	readonly profile: CallerProfile;
	/** Absent where no adapter brings one. */
	readonly trafficSource?: TrafficSource | undefined;
	/** Absent where moves to new versions aren't recorded. */
	readonly versionBoard?: TrialRecordStore | undefined;
	readonly eventLoopMonitor: EventLoopMonitor;
	/** The moves to new versions in which this gateway takes part. */
	readonly trials: VersionTrials;
	readonly callerHandlers: CallerHandlers;
	readonly boundAddresses: BoundAddresses;
	readonly cuts: Cuts;
};

/** The plug-ins of a node register here when their modules are loaded. */
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
