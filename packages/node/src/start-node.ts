/** Starts a node from its settings. This is the main entry point of the library. */
import {Registry} from 'prom-client';
import {
	type Clock, type Logger, createIdentifier, createLogger, systemClock,
} from '@catkindale/common';
import {createMessageBus, startPlugins} from '@catkindale/kernel';
import {
	type DriverSettings, type TableService, machineListDrivers, objectDrivers, tableDrivers, targetHealthDrivers,
} from '@catkindale/ports';
import {createPauseGuard} from '@catkindale/policy';
import {
	type BoundAddresses, type Cuts, type NodeContext, type Platform, type TrafficSource, nodePlugins,
} from './node-context.js';
import {type CallerProfile, defaultCallerProfile} from './caller-profile.js';
import {createDisconnectableTable} from './cut-action.js';
import {startEventLoopMonitor} from './event-loop-monitor.js';
import {createInputErrors} from './input-errors.js';
import type {NodeMessage} from './node-messages.js';
import type {Settings} from './settings.js';
import {createInstrumentedTable} from './table-metrics.js';
import type {TrialRecordStore} from './trial-record-store.js';
import {createVersionTrials} from './version-trials.js';
import './admin-plugin.js';
import './caller-server-plugin.js';
import './client-blocks-plugin.js';
import './configuration-plugin.js';
import './directory-plugin.js';
import './entry-plugin.js';
import './fleet-plugin.js';
import './freshness-plugin.js';
import './gateway-plugin.js';
import './gateway-server-plugin.js';
import './leaving-targets-plugin.js';
import './machine-list-plugin.js';
import './membership-plugin.js';
import './mesh-plugin.js';
import './metrics-plugin.js';
import './pause-guard-plugin.js';
import './planned-stop-plugin.js';
import './restriction-plugin.js';
import './rollout-plugin.js';
import './shift-plugin.js';
import './target-health-plugin.js';
import './traffic-knowledge-plugin.js';
import './traffic-source-plugin.js';
import './version-trial-plugin.js';

export type NodeHandle = {
	readonly addresses: Readonly<BoundAddresses>;
	readonly context: NodeContext;
	/** Drains, then stops. Running requests get the grace time to finish. */
	stop: () => Promise<void>;
};

export type NodeDependencies = {
	readonly clock?: Clock;
	readonly logger?: Logger;
	readonly platform?: Platform;
	readonly profile?: CallerProfile;
	/** Replaces the driver that the settings name. */
	readonly table?: TableService;
	readonly trafficSource?: TrafficSource;
	readonly trialRecordStore?: TrialRecordStore;
};

/** Starts the plug-ins of the roles in the settings. Rejects if a socket can't be opened. */
export async function startNode(settings: Settings, dependencies: NodeDependencies = {}): Promise<NodeHandle> {
	const logger = dependencies.logger ?? createLogger(settings.node.name);
	const cuts: Cuts = {peers: new Set(), isTableCut: false};
	const opened = dependencies.platform ?? openPlatform(settings);
	const metrics = new Registry();
	const instrumented = createInstrumentedTable(dependencies.table ?? opened.table, metrics);
	const platform = {...opened, table: settings.testing.allowCuts ? createDisconnectableTable(instrumented, cuts) : instrumented};
	const clock = dependencies.clock ?? systemClock;
	const bus = createMessageBus<NodeMessage>();
	const {peerSilenceMilliseconds, shareHoldMilliseconds} = settings.gateway;
	const pauseGuard = createPauseGuard({limitMilliseconds: peerSilenceMilliseconds, maximumMilliseconds: shareHoldMilliseconds});
	const context: NodeContext = {
		settings,
		logger,
		platform,
		profile: dependencies.profile ?? defaultCallerProfile,
		trafficSource: dependencies.trafficSource,
		trialRecordStore: dependencies.trialRecordStore,
		eventLoopMonitor: startEventLoopMonitor(),
		pauseGuard,
		observePause() {
			const milliseconds = pauseGuard.observe({monotonic: clock.monotonic(), wall: clock.wall()});
			if (milliseconds > 0) {
				logger.warn('process_paused', {milliseconds: Math.round(milliseconds)});
				bus.publish({type: 'process-paused', milliseconds});
			}
		},
		trials: createVersionTrials(),
		incarnation: createIdentifier(),
		clock,
		metrics,
		inputErrors: createInputErrors({logger, metrics}),
		bus,
		callerHandlers: {},
		boundAddresses: {
			caller: '', peer: '', admin: '', metrics: '',
		},
		cuts,
	};
	const lifeCycle = await startPlugins(nodePlugins.getPlugins(settings.node.roles), context, {
		logger, maximumStopMilliseconds: settings.timing.maximumStopMilliseconds,
	});
	logger.info('started', {incarnation: context.incarnation, ...context.boundAddresses});
	return {
		addresses: context.boundAddresses,
		context,
		async stop() {
			await lifeCycle.stop();
			context.eventLoopMonitor.stop();
			await Promise.all([platform.table.close(), platform.objects.close(), platform.machines.close(), platform.targetHealth?.close()]);
		},
	};
}

function openPlatform(settings: Settings): Platform {
	const {table, objects, machines, targetHealth} = settings.platform;
	return {
		table: tableDrivers.open(table.driver, getDriverSettings(table)),
		objects: objectDrivers.open(objects.driver, getDriverSettings(objects)),
		machines: machineListDrivers.open(machines.driver, getDriverSettings(machines)),
		...(targetHealth && {targetHealth: targetHealthDrivers.open(targetHealth.driver, targetHealth)}),
	};
}

function getDriverSettings(service: Settings['platform']['table']): DriverSettings {
	const {address, timeoutMilliseconds, maximumCallsInFlight} = service;
	return {address, timeoutMilliseconds, maximumCallsInFlight};
}
