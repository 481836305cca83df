/**
 * Keeps this node in its availability zone's membership row and publishes the
 * members of the fleet when they change.
 */
import {isDeepStrictEqual} from 'node:util';
import {createIdentifier} from '@catkindale/common';
import type {Row} from '@catkindale/platform';
import {type Member, type ZoneMembership, zoneMembershipSchema} from '@catkindale/policy';
import {rowKeys, roles} from './constants.js';
import {type NodeContext, getOwnMember, nodePlugins} from './node-context.js';
import {startPeriodicWork} from './periodic-work.js';

const startOrder = 50;

nodePlugins.register({
	name: 'membership',
	roles,
	order: startOrder,
	async start(context) {
		let members: readonly Member[] = [];
		const poll = async (): Promise<void> => {
			const rows = await context.platform.table.list(rowKeys.membershipPrefix);
			if (rows.kind !== 'done') {
				return;
			}

			const own = getOwnMember(context);
			const listed = getMembers(rows.value);
			if (!listed.some(member => isDeepStrictEqual(member, own))) {
				await writeOwnRow(context, rows.value, own);
			}

			if (!isDeepStrictEqual(listed, members)) {
				members = listed;
				context.bus.publish({type: 'membership-changed', members});
			}
		};

		await poll();
		await poll();
		const work = startPeriodicWork(poll, context.settings.timing.tablePollMilliseconds);
		return {
			async stop() {
				await work.stop();
				await writeOwnRow(context, await readRows(context), undefined);
			},
		};
	},
});

function getMembers(rows: readonly Row[]): Member[] {
	return rows.flatMap(row => zoneMembershipSchema.parse(row.value).members);
}

async function readRows(context: NodeContext): Promise<readonly Row[]> {
	const rows = await context.platform.table.list(rowKeys.membershipPrefix);
	return rows.kind === 'done' ? rows.value : [];
}

/** Writes this node into its zone's row, or takes it out. A conflict is tried again at the next poll. */
async function writeOwnRow(context: NodeContext, rows: readonly Row[], own: Member | undefined): Promise<void> {
	const {name, region, zone} = context.settings.node;
	const key = `${rowKeys.membershipPrefix}${region}/${zone}`;
	const row = rows.find(candidate => candidate.key === key);
	const known: ZoneMembership = row ? zoneMembershipSchema.parse(row.value) : {epoch: 0, members: []};
	const others = known.members.filter(member => member.id !== name);
	const value: ZoneMembership = {epoch: known.epoch + 1, members: own ? [...others, own] : others};
	const outcome = await context.platform.table.transact(createIdentifier(), [{key, expectedVersion: row?.version ?? 0, value}]);
	context.logger.info('membership_write', {zone, epoch: value.epoch, outcome: outcome.kind});
}
