/**
 * Runs the rollouts that the configuration declares. Any node may write the next
 * step; rendezvous hashing decides which node tries first. Nodes exchange
 * evidence and halts directly, but only the row in the table makes a rollout
 * `done` or `reverted`.
 */
import {Counter, Gauge} from 'prom-client';
import type {Row} from '@catkindale/ports';
import {
	type Member, type VersionedConfiguration, getHighestSuspicion, isFinal, isHalted,
} from '@catkindale/policy';
import {rowKeys} from './constants.js';
import {type NodeContext, nodePlugins} from './node-context.js';
import {startPeriodicWork} from './periodic-work.js';
import {registerRolloutTasks} from './rollout-registry.js';
import {
	type RolloutTask, type RolloutTaskDependencies, commitWrite, createReport, createRolloutTask, getTaskShare, planNextWrite, haltRollout, applyRow, setDesiredState, applyReport,
} from './rollout-task.js';

const startOrder = 55;

type RolloutMetrics = {
	readonly share: Gauge<'rollout'>;
	readonly suspicion: Gauge<'rollout'>;
	readonly ends: Counter<'rollout' | 'phase'>;
};

type Controller = {
	readonly context: NodeContext;
	readonly tasks: Map<string, RolloutTask>;
	readonly metrics: RolloutMetrics;
	members: readonly string[];
	/** The row version of each rollout that was last logged. */
	readonly loggedVersions: Map<string, number>;
};

nodePlugins.register({
	name: 'rollouts',
	roles: ['control', 'entry'],
	order: startOrder,
	async start(context) {
		const {bus, settings} = context;
		const controller: Controller = {
			context, tasks: new Map(), metrics: createMetrics(context), members: [settings.node.name], loggedVersions: new Map(),
		};
		registerRolloutTasks(context, controller.tasks);
		const poll = async (): Promise<void> => readRows(controller);
		const work = startPeriodicWork(poll, settings.timing.tablePollMilliseconds);
		const timer = setInterval(() => {
			runTick(controller);
		}, settings.timing.heartbeatMilliseconds);
		const subscriptions = [
			bus.subscribe('configuration-changed', change => {
				setConfiguration(controller, change);
				work.runSoon();
			}),
			bus.subscribe('membership-changed', ({members}) => {
				controller.members = getMemberNames(members, settings.node.name);
			}),
			bus.subscribe('attempt-finished', ({route, target, result}) => {
				for (const task of controller.tasks.values()) {
					if (task.follower.row?.service === target.service) {
						task.collector?.recordAttempt(route, target, result, context.clock.monotonic());
					}
				}
			}),
			bus.subscribe('rollout-halt-requested', ({rollout, reason}) => {
				const task = controller.tasks.get(rollout);
				if (task) {
					haltRollout(task, reason);
					runTaskTick(controller, rollout, task);
				}
			}),
			bus.subscribe('peer-received', ({from, message}) => {
				if (message.type === 'rollout-report') {
					receiveReport(controller, from, message.report);
				}
			}),
		];
		return {
			async stop() {
				clearInterval(timer);
				await work.stop();
				for (const unsubscribe of subscriptions) {
					unsubscribe();
				}
			},
		};
	},
});

function receiveReport(controller: Controller, from: string, report: Parameters<typeof applyReport>[2]): void {
	const task = controller.tasks.get(report.rollout);
	if (!task) {
		return;
	}

	const wasHalted = isHalted(task.follower);
	applyReport(task, from, report, controller.context.clock.monotonic());
	if (!wasHalted && isHalted(task.follower)) {
		// Forwards a halt at once, because its sender may not reach all members.
		runTaskTick(controller, report.rollout, task);
	}
}

function setConfiguration(controller: Controller, {configuration, version}: VersionedConfiguration): void {
	for (const {name} of configuration.rollouts) {
		if (!controller.tasks.has(name)) {
			controller.tasks.set(name, createRolloutTask(name, getTaskDependencies(controller.context)));
		}
	}

	for (const [name, task] of controller.tasks) {
		setDesiredState(task, configuration, version);
	}
}

function getTaskDependencies({settings, incarnation, clock, logger, platform}: NodeContext): RolloutTaskDependencies {
	return {
		member: settings.node.name, incarnation, clock, logger, table: platform.table,
	};
}

async function readRows(controller: Controller): Promise<void> {
	const {context, tasks} = controller;
	if (tasks.size === 0) {
		return;
	}

	const readAt = context.clock.monotonic();
	const outcome = await context.platform.table.list(rowKeys.rolloutPrefix);
	if (outcome.kind !== 'done') {
		context.logger.warn('table_read_failed', {row: rowKeys.rolloutPrefix, outcome: outcome.kind});
		return;
	}

	const rows = new Map(outcome.value.map((row: Row) => [row.key, row]));
	for (const [name, task] of tasks) {
		applyRow(task, rows.get(`${rowKeys.rolloutPrefix}${name}`), readAt);
		publishShare(controller, name, task);
	}
}

function runTick(controller: Controller): void {
	for (const [name, task] of controller.tasks) {
		runTaskTick(controller, name, task);
	}
}

function runTaskTick(controller: Controller, name: string, task: RolloutTask): void {
	const {context, members} = controller;
	const report = createReport(task);
	publishShare(controller, name, task);
	context.bus.publish({type: 'peer-broadcast', message: {type: 'rollout-report', report}});
	const write = task.isWriting ? undefined : planNextWrite(task, members);
	if (write) {
		void commitWrite(task, write);
	}

	const {row} = task.follower;
	if (!task.desired.rollout && (!row || isFinal(row))) {
		controller.tasks.delete(name);
	}
}

function publishShare(controller: Controller, name: string, task: RolloutTask): void {
	const {row, rowVersion} = task.follower;
	if (!row) {
		return;
	}

	const lease = getTaskShare(task, controller.members);
	const isWithdrawn = !task.desired.rollout;
	const share = isWithdrawn ? 0 : lease.share;
	controller.context.bus.publish({
		type: 'version-share-changed', share: {
			service: row.service, version: row.to, ...lease, share,
		},
	});
	controller.metrics.share.set({rollout: name}, share);
	controller.metrics.suspicion.set({rollout: name}, getHighestSuspicion(task.follower));
	logRow(controller, name, rowVersion, task);
}

function logRow(controller: Controller, name: string, rowVersion: number, task: RolloutTask): void {
	const {row} = task.follower;
	if (!row || controller.loggedVersions.get(name) === rowVersion) {
		return;
	}

	controller.loggedVersions.set(name, rowVersion);
	const {service, from, to, phase, step, reason} = row;
	const share = row.shares[step];
	controller.context.logger.info('rollout_step', {
		rollout: name, service, from, to, phase, step, share, reason,
	});
	if (isFinal(row)) {
		controller.metrics.ends.inc({rollout: name, phase});
	}
}

function getMemberNames(members: readonly Member[], ownName: string): string[] {
	const names = members.map(member => member.id);
	return names.includes(ownName) ? names : [...names, ownName];
}

function createMetrics(context: NodeContext): RolloutMetrics {
	const registers = [context.metrics];
	return {
		share: new Gauge({
			name: 'catkindale_rollout_share', help: 'Share of requests that this node may hand to the new version', labelNames: ['rollout'], registers,
		}),
		suspicion: new Gauge({
			name: 'catkindale_rollout_suspicion', help: 'How near the evidence against the new version is to a halt, from 0 to 1', labelNames: ['rollout'], registers,
		}),
		ends: new Counter({
			name: 'catkindale_rollout_ends_total', help: 'Rollouts that this node saw done or reverted', labelNames: ['rollout', 'phase'], registers,
		}),
	};
}
