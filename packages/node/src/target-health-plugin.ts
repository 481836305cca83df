/**
 * Polls the health of targets and sends the other nodes the reports that reduce
 * the requests for a target. Each target is polled by the two highest-ranked
 * nodes of its region, with a limited number of calls at once. A report can only
 * reduce the requests and expires after a few seconds. A missing response has no
 * effect.
 */
import {Gauge} from 'prom-client';
import type {TargetHealthReader} from '@catkindale/ports';
import {
	type Member, type Target, type TargetReport, getReportReaders, isReducingReport,
} from '@catkindale/policy';
import type {PeerMessage} from '@catkindale/protocol';
import {roles} from './constants.js';
import {type NodeContext, nodePlugins} from './node-context.js';
import {startPeriodicWork} from './periodic-work.js';

type ReportsMessage = PeerMessage & {readonly type: 'target-reports'};

const startOrder = 56;
const maximumReportsPerMessage = 100;

nodePlugins.register({
	name: 'target-health',
	roles,
	order: startOrder,
	async start(context) {
		const reports = createTargetReports(context);
		const {targetHealth} = context.platform;
		if (!targetHealth) {
			return {
				async stop() {
					reports.end();
				},
			};
		}

		const maximumConcurrentCalls = context.settings.platform.targetHealth?.maximumCallsInFlight ?? 1;
		const poll = async (): Promise<void> => {
			const ownTargets = reports.getOwnTargets();
			for (let index = 0; index < ownTargets.length; index += maximumConcurrentCalls) {
				const chunk = ownTargets.slice(index, index + maximumConcurrentCalls);
				await Promise.all(chunk.map(async target => readTarget(context, targetHealth, target, reports.recordReport)));
			}

			reports.sendToPeers(ownTargets);
		};

		const pollTask = startPeriodicWork(poll, context.settings.timing.targetHealthPollMilliseconds);
		return {
			async stop() {
				await pollTask.stop();
				reports.end();
			},
		};
	},
});

type RecordReport = (target: Target, report: TargetReport) => void;

async function readTarget({clock}: NodeContext, reader: TargetHealthReader, target: Target, recordReport: RecordReport): Promise<void> {
	// The report may be as old as the call.
	const receivedAt = clock.monotonic();
	const outcome = await reader.read(target.address);
	if (outcome.kind === 'done') {
		recordReport(target, {receivedAt, ...outcome.health});
	}
}

type TargetReports = {
	/** The targets that this node polls. */
	readonly getOwnTargets: () => Target[];
	readonly recordReport: RecordReport;
	/** Sends the reports that reduce requests, and one more report of each target that no longer needs it. */
	readonly sendToPeers: (targets: readonly Target[]) => void;
	readonly end: () => void;
};

function createTargetReports({bus, clock, metrics, logger, settings}: NodeContext): TargetReports {
	let targets: ReadonlyMap<string, Target> = new Map();
	let members: readonly Member[] = [];
	let unavailable: ReadonlySet<string> = new Set();
	const latestReports = new Map<string, TargetReport>();
	/** The targets whose latest report to peers reduced their requests. */
	const reducedTargets = new Set<string>();

	const recordReport: RecordReport = (target, report) => {
		latestReports.set(target.name, report);
		bus.publish({type: 'target-reported', target, report});
	};

	const receiveReports = (message: ReportsMessage): void => {
		for (const {target: name, ageMilliseconds, ...health} of message.reports) {
			const target = targets.get(name);
			const receivedAt = clock.monotonic() - ageMilliseconds;
			if (target && receivedAt >= (latestReports.get(name)?.receivedAt ?? -Infinity)) {
				recordReport(target, {receivedAt, ...health});
			}
		}
	};

	const unsubscribers = [
		bus.subscribe('configuration-changed', ({configuration}) => {
			const nextTargets = new Map(configuration.targets.map(target => [target.name, target]));
			// A target with the same name and another address is a different target.
			const removedNames = [...latestReports.keys()].filter(name => nextTargets.get(name)?.address !== targets.get(name)?.address);
			for (const name of removedNames) {
				latestReports.delete(name);
				reducedTargets.delete(name);
			}

			targets = nextTargets;
		}),
		bus.subscribe('membership-changed', message => {
			members = message.members;
		}),
		bus.subscribe('unavailable-members-changed', ({ids}) => {
			unavailable = ids;
		}),
		bus.subscribe('peer-received', ({message}) => {
			if (message.type === 'target-reports') {
				receiveReports(message);
			}
		}),
	];
	const gauge = new Gauge({
		name: 'catkindale_targets_reported_low',
		help: 'Targets that ask for less work by their own reports',
		labelNames: ['service', 'version'],
		registers: [metrics],
		collect() {
			gauge.reset();
			for (const [name, report] of latestReports) {
				const target = targets.get(name);
				if (target) {
					gauge.inc({service: target.service, version: target.version}, Number(isReducingReport(report, clock.monotonic())));
				}
			}
		},
	});

	return {
		recordReport,
		getOwnTargets() {
			const available = members.filter(member => !unavailable.has(member.id));
			return [...targets.values()].filter(target => getReportReaders(target, available).some(({id}) => id === settings.node.name));
		},
		sendToPeers(ownTargets) {
			const now = clock.monotonic();
			const outgoingReports: ReportsMessage['reports'] = [];
			for (const {name} of ownTargets) {
				const report = latestReports.get(name);
				const isReducing = report !== undefined && isReducingReport(report, now);
				if (report && (isReducing || reducedTargets.has(name))) {
					const {isHealthy, load, receivedAt} = report;
					outgoingReports.push({
						target: name, isHealthy, load, ageMilliseconds: Math.max(0, now - receivedAt),
					});
				}

				if (isReducing !== reducedTargets.has(name)) {
					logger.info('target_reported', {target: name, healthy: report?.isHealthy ?? 'unknown', load: report?.load ?? 'unknown'});
				}

				if (isReducing) {
					reducedTargets.add(name);
				} else {
					reducedTargets.delete(name);
				}
			}

			for (let index = 0; index < outgoingReports.length; index += maximumReportsPerMessage) {
				bus.publish({type: 'peer-broadcast', message: {type: 'target-reports', reports: outgoingReports.slice(index, index + maximumReportsPerMessage)}});
			}
		},
		end() {
			for (const unsubscribe of unsubscribers) {
				unsubscribe();
			}
		},
	};
}
