/**
 * Asks targets for their health and tells the other nodes what restricts. Two
 * ranked nodes of a target's region ask it, within a bounded pace; what they
 * hear can only lower what the target gets and is forgotten after a few
 * seconds. No answer says nothing.
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
const mostReportsPerMessage = 100;

nodePlugins.register({
	name: 'target-health',
	roles,
	order: startOrder,
	async start(context) {
		const reports = createReports(context);
		const {targetHealth} = context.platform;
		if (!targetHealth) {
			return {
				async stop() {
					reports.end();
				},
			};
		}

		const callsAtOnce = context.settings.platform.targetHealth?.maximumCallsInFlight ?? 1;
		const poll = async (): Promise<void> => {
			const own = reports.getOwnTargets();
			for (let index = 0; index < own.length; index += callsAtOnce) {
				const part = own.slice(index, index + callsAtOnce);
				await Promise.all(part.map(async target => readTarget(context, targetHealth, target, reports.hear)));
			}

			reports.tellPeers(own);
		};

		const work = startPeriodicWork(poll, context.settings.timing.targetHealthPollMilliseconds);
		return {
			async stop() {
				await work.stop();
				reports.end();
			},
		};
	},
});

type Hear = (target: Target, report: TargetReport) => void;

async function readTarget({clock}: NodeContext, reader: TargetHealthReader, target: Target, hear: Hear): Promise<void> {
	// The answer may be as old as the question.
	const receivedAt = clock.monotonic();
	const outcome = await reader.read(target.address);
	if (outcome.kind === 'done') {
		hear(target, {receivedAt, ...outcome.health});
	}
}

type Reports = {
	/** The targets that this node has to ask. */
	readonly getOwnTargets: () => Target[];
	readonly hear: Hear;
	/** Tells what restricts, and once what does so no longer. */
	readonly tellPeers: (targets: readonly Target[]) => void;
	readonly end: () => void;
};

function createReports({bus, clock, metrics, logger, settings}: NodeContext): Reports {
	let targets: ReadonlyMap<string, Target> = new Map();
	let members: readonly Member[] = [];
	let unavailable: ReadonlySet<string> = new Set();
	const heard = new Map<string, TargetReport>();
	/** The targets of which peers were told something that restricts. */
	const restricted = new Set<string>();

	const hear: Hear = (target, report) => {
		heard.set(target.name, report);
		bus.publish({type: 'target-reported', target, report});
	};

	const receive = (message: ReportsMessage): void => {
		for (const {target: name, ageMilliseconds, ...health} of message.reports) {
			const target = targets.get(name);
			const receivedAt = clock.monotonic() - ageMilliseconds;
			if (target && receivedAt >= (heard.get(name)?.receivedAt ?? -Infinity)) {
				hear(target, {receivedAt, ...health});
			}
		}
	};

	const endings = [
		bus.subscribe('configuration-changed', ({configuration}) => {
			const next = new Map(configuration.targets.map(target => [target.name, target]));
			// Another address under the same name is another target.
			const gone = [...heard.keys()].filter(name => next.get(name)?.address !== targets.get(name)?.address);
			for (const name of gone) {
				heard.delete(name);
				restricted.delete(name);
			}

			targets = next;
		}),
		bus.subscribe('membership-changed', message => {
			members = message.members;
		}),
		bus.subscribe('unavailable-members-changed', ({ids}) => {
			unavailable = ids;
		}),
		bus.subscribe('peer-received', ({message}) => {
			if (message.type === 'target-reports') {
				receive(message);
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
			for (const [name, report] of heard) {
				const target = targets.get(name);
				if (target) {
					gauge.inc({service: target.service, version: target.version}, Number(isReducingReport(report, clock.monotonic())));
				}
			}
		},
	});

	return {
		hear,
		getOwnTargets() {
			const available = members.filter(member => !unavailable.has(member.id));
			return [...targets.values()].filter(target => getReportReaders(target, available).some(({id}) => id === settings.node.name));
		},
		tellPeers(own) {
			const now = clock.monotonic();
			const told: ReportsMessage['reports'] = [];
			for (const {name} of own) {
				const report = heard.get(name);
				const isRestricting = report !== undefined && isReducingReport(report, now);
				if (report && (isRestricting || restricted.has(name))) {
					const {isHealthy, load, receivedAt} = report;
					told.push({
						target: name, isHealthy, load, ageMilliseconds: Math.max(0, now - receivedAt),
					});
				}

				if (isRestricting !== restricted.has(name)) {
					logger.info('target_reported', {target: name, healthy: report?.isHealthy ?? 'unknown', load: report?.load ?? 'unknown'});
				}

				if (isRestricting) {
					restricted.add(name);
				} else {
					restricted.delete(name);
				}
			}

			for (let index = 0; index < told.length; index += mostReportsPerMessage) {
				bus.publish({type: 'peer-broadcast', message: {type: 'target-reports', reports: told.slice(index, index + mostReportsPerMessage)}});
			}
		},
		end() {
			for (const end of endings) {
				end();
			}
		},
	};
}
