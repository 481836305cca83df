/** Keeps this node a member of the fleet and its quotas consistent with the ledger. */
import {isLedgerReadNeeded, slotLoanMarginMilliseconds, slotLoanMilliseconds} from '@catkindale/policy';
import {roles} from './constants.js';
import {createMembership} from './membership.js';
import {getOwnMember, nodePlugins} from './node-context.js';
import {getNodeQuotas} from './node-quotas.js';
import {startPeriodicWork} from './periodic-work.js';
import {getMaximumRelayedAgeMilliseconds, startTablePoller} from './table-poller.js';

const startOrder = 50;
/** Added to each wait until another node must have stopped using its quota; covers clock drift and scheduling delays. */
const safetyMarginMilliseconds = 1000;
/** A list of VMs that omits most members is accepted only after it has done so for this time. */
const incompleteListMilliseconds = 30_000;

nodePlugins.register({
	name: 'membership',
	roles,
	order: startOrder,
	async start(context) {
		const {bus, logger, settings} = context;
		const quotas = getNodeQuotas(context);
		let maximumDeadlineMilliseconds = slotLoanMilliseconds + slotLoanMarginMilliseconds;
		const membership = createMembership({
			table: context.platform.table,
			ledger: quotas.ledger,
			getOwnMember: () => getOwnMember(context),
			clock: quotas.clock,
			limits: {
				unresponsiveMilliseconds: settings.timing.freshnessLimitMilliseconds + safetyMarginMilliseconds,
				leaseExpiryMilliseconds: settings.timing.freshnessLimitMilliseconds + safetyMarginMilliseconds,
				getMaximumRequestMilliseconds: () => maximumDeadlineMilliseconds + safetyMarginMilliseconds,
				incompleteListMilliseconds,
			},
			onUnreadableRow(reason) {
				logger.error('ledger_unreadable', {reason});
			},
			onWritten(row) {
				bus.publish({type: 'peer-broadcast', message: {type: 'ledger-row', ledger: row}});
			},
			onWrite(epoch, outcome) {
				logger.info('ledger_write', {epoch, outcome});
			},
			onListDoubted(isDoubted, listed) {
				logger.warn('machine_list_doubted', {isDoubted, listed});
			},
		});
		const unsubscribers = [
			bus.subscribe('machines-listed', ({machines}) => {
				membership.setListedMachines(new Set(machines.map(machine => machine.id)));
			}),
			bus.subscribe('heartbeat-sending', () => {
				quotas.ledger.tick(true);
			}),
			bus.subscribe('configuration-changed', ({configuration}) => {
				const deadlines = configuration.routes.map(route => route.deadlineMilliseconds);
				maximumDeadlineMilliseconds = Math.max(maximumDeadlineMilliseconds, ...deadlines);
			}),
		];
		const poll = async (): Promise<void> => {
			const isRead = await membership.poll();
			if (!isRead) {
				logger.warn('table_read_failed', {row: 'membership'});
			}
		};

		const tick = async (): Promise<void> => {
			quotas.ledger.tick(false);
		};

		const backgroundWork = [
			startTablePoller(context, poll, () => isLedgerReadNeeded(quotas.ledger.getView(), getMaximumRelayedAgeMilliseconds(context), quotas.clock.pauseAdjusted())),
			startPeriodicWork(tick, settings.timing.heartbeatMilliseconds / 2),
		];
		return {
			async onAllStarted() {
				await poll();
				await poll();
			},
			async stop() {
				await Promise.all(backgroundWork.map(async each => each.stop()));
				for (const unsubscribe of unsubscribers) {
					unsubscribe();
				}

				await membership.leave();
				quotas.end();
			},
		};
	},
});
