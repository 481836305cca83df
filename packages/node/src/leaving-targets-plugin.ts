/**
 * Tracks which targets are leaving, according to the platform's list or to the
 * target's own response, and broadcasts the latter to all nodes. A leaving target
 * gets no new requests; its running requests finish.
 */
import {isDeepStrictEqual} from 'node:util';
import type {Target} from '@catkindale/policy';
import {roles} from './constants.js';
import {nodePlugins} from './node-context.js';

const startOrder = 22;

nodePlugins.register({
	name: 'leaving-targets',
	roles,
	order: startOrder,
	async start(context) {
		const {bus, logger} = context;
		/** Targets that reported that they are leaving, with their addresses at that time. */
		const reportedLeaving = new Map<string, string>();
		/** Targets in `reportedLeaving` that the platform's list has since omitted or shown as leaving. */
		const reportedNotLive = new Set<string>();
		let listedLeaving: ReadonlySet<string> = new Set();
		let targets: ReadonlyMap<string, Target> = new Map();
		let publishedLeaving: ReadonlySet<string> = new Set();

		const publish = (): void => {
			const leaving = new Set([...listedLeaving, ...reportedLeaving.keys()]);
			if (!isDeepStrictEqual(leaving, publishedLeaving)) {
				publishedLeaving = leaving;
				bus.publish({type: 'leaving-targets-changed', targets: leaving});
			}
		};

		const recordLeaving = (name: string, source: string): void => {
			const target = targets.get(name);
			if (!target || reportedLeaving.has(name)) {
				return;
			}

			reportedLeaving.set(name, target.address);
			logger.info('target_leaving', {target: name, source});
			bus.publish({type: 'peer-broadcast', message: {type: 'target-leaving', target: name}});
			publish();
		};

		const clearReport = (name: string): void => {
			reportedLeaving.delete(name);
			reportedNotLive.delete(name);
		};

		const subscriptions = [
			bus.subscribe('target-leaving-reported', ({target}) => {
				recordLeaving(target, 'answer');
			}),
			bus.subscribe('peer-received', ({from, message}) => {
				if (message.type === 'target-leaving') {
					recordLeaving(message.target, from);
				}
			}),
			bus.subscribe('configuration-changed', ({configuration}) => {
				targets = new Map(configuration.targets.map(target => [target.name, target]));
				// A target with a new address replaces the one that reported.
				const replaced = [...reportedLeaving].filter(([name, address]) => targets.get(name)?.address !== address);
				for (const [name] of replaced) {
					clearReport(name);
				}

				publish();
			}),
			bus.subscribe('machines-listed', ({machines}) => {
				const live = new Set(machines.filter(({state}) => state === 'live').map(({id}) => id));
				listedLeaving = new Set(machines.filter(({state}) => state === 'leaving').map(({id}) => id));
				for (const name of reportedLeaving.keys()) {
					if (!live.has(name)) {
						reportedNotLive.add(name);
					} else if (reportedNotLive.has(name)) {
						clearReport(name);
					}
				}

				publish();
			}),
		];
		return {
			async stop() {
				for (const unsubscribe of subscriptions) {
					unsubscribe();
				}
			},
		};
	},
});
