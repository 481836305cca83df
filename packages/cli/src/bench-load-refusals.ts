/**
 * Records the idle slots at each moment when a node refuses a request: those
 * that the node holds itself, those in its region and those in other regions.
 */
import type {LoadRefusal} from './bench-load-callers.js';
import type {LoadFleet} from './bench-load-fleet.js';

type Refusal = LoadRefusal & {
	readonly held: number;
	/** Free slots held by the node that refused. */
	readonly heldFree: number;
	/** Slots without a running request, at the targets of the node's region and of other regions. */
	readonly idleInRegion: number;
	readonly idleInOtherRegions: number;
};

export type LoadRefusals = {
	readonly record: (refusal: LoadRefusal) => void;
	/** Returns one line for each reason. */
	readonly formatLines: () => string[];
};

export function createLoadRefusals(fleet: LoadFleet, slotsPerTarget: number): LoadRefusals {
	const refusals: Refusal[] = [];
	return {
		record(refusal) {
			const ownSlots = fleet.getSlots().filter(slots => slots.address === refusal.address);
			const region = ownSlots[0]?.region;
			const idleSlots = fleet.targets.map(target => ({region: target.region, slots: slotsPerTarget - target.standin.getCounts().inFlight}));
			refusals.push({
				...refusal,
				held: sum(ownSlots.map(slots => slots.held)),
				heldFree: sum(ownSlots.map(slots => slots.free)),
				idleInRegion: sum(idleSlots.filter(target => target.region === region).map(target => target.slots)),
				idleInOtherRegions: sum(idleSlots.filter(target => target.region !== region).map(target => target.slots)),
			});
		},
		formatLines() {
			const reasons = [...new Set(refusals.map(refusal => refusal.reason))].toSorted();
			return reasons.map(reason => formatReason(reason, refusals.filter(refusal => refusal.reason === reason)));
		},
	};
}

function formatReason(reason: string, refusals: readonly Refusal[]): string {
	const getMean = (read: (refusal: Refusal) => number): string => (sum(refusals.map(refusal => read(refusal))) / refusals.length).toFixed(1);
	return [
		`    ${reason}: ${refusals.length} refusals, after ${getMean(refusal => refusal.waitedMilliseconds)} ms`,
		`the node held ${getMean(refusal => refusal.held)} slots, ${getMean(refusal => refusal.heldFree)} of them free`,
		`idle in its region ${getMean(refusal => refusal.idleInRegion)}, in other regions ${getMean(refusal => refusal.idleInOtherRegions)}`,
	].join('; ');
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
