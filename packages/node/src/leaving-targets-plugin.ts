/**
 * Knows which targets are leaving, from the platform's list or by their own
 * word in an answer, and spreads the latter to all nodes. Such targets get no
 * new work; what runs there finishes.
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
		/** The targets that said so themselves, with their addresses at that time. */
		const saidSo = new Map<string, string>();
		/** Those of them that the platform's list has left out or shown as leaving since. */
		const goneSince = new Set<string>();
		let listed: ReadonlySet<string> = new Set();
		let targets: ReadonlyMap<string, Target> = new Map();
		let published: ReadonlySet<string> = new Set();

		const publish = (): void => {
			const leaving = new Set([...listed, ...saidSo.keys()]);
			if (!isDeepStrictEqual(leaving, published)) {
				published = leaving;
				bus.publish({type: 'leaving-targets-changed', targets: leaving});
			}
		};

		const hear = (name: string, source: string): void => {
			const target = targets.get(name);
			if (!target || saidSo.has(name)) {
				return;
			}

			saidSo.set(name, target.address);
			logger.info('target_leaving', {target: name, source});
			bus.publish({type: 'peer-broadcast', message: {type: 'target-leaving', target: name}});
			publish();
		};

		const forget = (name: string): void => {
			saidSo.delete(name);
			goneSince.delete(name);
		};

		const endings = [
			bus.subscribe('target-leaving-reported', ({target}) => {
				hear(target, 'answer');
			}),
			bus.subscribe('peer-received', ({from, message}) => {
				if (message.type === 'target-leaving') {
					hear(message.target, from);
				}
			}),
			bus.subscribe('configuration-changed', ({configuration}) => {
				targets = new Map(configuration.targets.map(target => [target.name, target]));
				// Another address under the same name is another target.
				const replaced = [...saidSo].filter(([name, address]) => targets.get(name)?.address !== address);
				for (const [name] of replaced) {
					forget(name);
				}

				publish();
			}),
			bus.subscribe('machines-listed', ({machines}) => {
				const live = new Set(machines.filter(({state}) => state === 'live').map(({id}) => id));
				listed = new Set(machines.filter(({state}) => state === 'leaving').map(({id}) => id));
				for (const name of saidSo.keys()) {
					if (!live.has(name)) {
						goneSince.add(name);
					} else if (goneSince.has(name)) {
						forget(name);
					}
				}

				publish();
			}),
		];
		return {
			async stop() {
				for (const end of endings) {
					end();
				}
			},
		};
	},
});
