/**
 * Reports the outcome of a change to the operator. The result is `accepted` only
 * once the change is committed and a quorum of nodes has confirmed it, so that
 * no node can treat an older configuration as current.
 */
import {type RegionConfirmation, isFleetFormed, hasQuorum} from '@catkindale/policy';
import type {AdminResponse} from './admin-actions.js';
import {type AdminState, getRegionPropagation} from './admin-state.js';
import type {ChangeOutcome} from './configuration-change.js';
import type {NodeContext} from './node-context.js';

const confirmationTimeoutMilliseconds = 3000;
/** How long to wait for all regions if a quorum has already confirmed the change. */
const allRegionsTimeoutMilliseconds = 500;

export async function reportChange(context: NodeContext, state: AdminState, outcome: ChangeOutcome): Promise<AdminResponse> {
	switch (outcome.kind) {
		case 'committed': {
			return reportCommitted(context, state, outcome);
		}

		case 'conflict': {
			const {version, winner} = outcome;
			const winnerDescription = winner ? `; change ${winner.changeId} by ${winner.author} made version ${winner.version}` : '';
			return {
				status: 409, body: {
					result: 'conflict', version, winner, detail: `the configuration is at version ${version}${winnerDescription}`,
				},
			};
		}

		case 'refused': {
			return {status: 422, body: {result: 'refused', detail: outcome.reason}};
		}

		case 'not-done': {
			return {status: 503, body: {result: 'refused', detail: `nothing was changed: ${outcome.reason}`}};
		}

		case 'unknown': {
			const {changeId, reason} = outcome;
			return {
				status: 504, body: {
					result: 'unknown', changeId, detail: `${reason}; run "catkindale status" and look for change ${changeId} before applying again`,
				},
			};
		}
	}
}

async function reportCommitted(context: NodeContext, state: AdminState, {version, changeId}: Extract<ChangeOutcome, {kind: 'committed'}>): Promise<AdminResponse> {
	const regions = await waitForConfirmation(context, state, version);
	const report = regions.map(({region, isConfirmedByAll: isConfirmed, missing}) => ({region, state: isConfirmed ? 'in force' : 'not in force', missing}));
	if (isAccepted(state, regions)) {
		return {
			status: 200, body: {
				result: 'accepted', version, changeId, regions: report,
			},
		};
	}

	const unconfirmed = regions.filter(region => !region.isConfirmedByAll).map(region => region.region).join(', ');
	const missing = unconfirmed === '' ? 'on the VMs that haven\'t joined yet' : `in ${unconfirmed}`;
	return {
		status: 202, body: {
			result: 'committed', version, changeId, regions: report, detail: `committed at version ${version}, not in force ${missing}`,
		},
	};
}

function isAccepted(state: AdminState, regions: readonly RegionConfirmation[]): boolean {
	return hasQuorum(regions) && isFleetFormed(state.members.length, state.liveMachineCount);
}

/** Resolves when all members have confirmed the version, when a quorum has and the others are late, or at the timeout. */
async function waitForConfirmation(context: NodeContext, state: AdminState, version: number): Promise<RegionConfirmation[]> {
	return new Promise(resolve => {
		const startedAt = context.clock.monotonic();
		const check = (): void => {
			const regions = getRegionPropagation(state, context.settings.node.name, version);
			const waited = context.clock.monotonic() - startedAt;
			const isWaitOver = regions.every(region => region.isConfirmedByAll) || waited >= allRegionsTimeoutMilliseconds;
			const isDone = isWaitOver && isAccepted(state, regions);
			if ((regions.length > 0 && isDone) || waited >= confirmationTimeoutMilliseconds) {
				clearInterval(timer);
				unsubscribe();
				resolve(regions);
			}
		};

		const timer = setInterval(check, allRegionsTimeoutMilliseconds);
		const unsubscribe = context.bus.subscribe('peer-received', ({message}) => {
			if (message.type === 'heartbeat') {
				check();
			}
		});
		check();
	});
}
