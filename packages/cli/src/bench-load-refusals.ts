/**
 * Where slots were idle at the moments when real nodes refused requests: at
 * the node that refused, at other nodes of its region, and in other regions.
 */
import type {LoadRefusal} from './bench-load-callers.js';
import type {LoadFleet} from './bench-load-fleet.js';

type Refusal = LoadRefusal & {
	readonly held: number;
	/** Slots that the node itself held free. */
	readonly ownFree: number;
	/** Slots that nothing ran on, at the targets of the node's region and of the others. */
	readonly idleInRegion: number;
	readonly idleElsewhere: number;
};

export type LoadRefusals = {
	readonly note: (refusal: LoadRefusal) => void;
	/** A line for each reason. */
	readonly format: () => string[];
};

export function createLoadRefusals(fleet: LoadFleet, slotsPerTarget: number): LoadRefusals {
	const refusals: Refusal[] = [];
	return {
		note(refusal) {
			const own = fleet.getSlots().filter(slots => slots.address === refusal.address);
			const region = own[0]?.region;
			const idle = fleet.targets.map(target => ({region: target.region, slots: slotsPerTarget - target.standin.getCounts().inFlight}));
			refusals.push({
				...refusal,
				held: sum(own.map(slots => slots.held)),
				ownFree: sum(own.map(slots => slots.free)),
				idleInRegion: sum(idle.filter(target => target.region === region).map(target => target.slots)),
				idleElsewhere: sum(idle.filter(target => target.region !== region).map(target => target.slots)),
			});
		},
		format() {
			const reasons = [...new Set(refusals.map(refusal => refusal.reason))].toSorted();
			return reasons.map(reason => formatReason(reason, refusals.filter(refusal => refusal.reason === reason)));
		},
	};
}

function formatReason(reason: string, refusals: readonly Refusal[]): string {
	const getMean = (read: (refusal: Refusal) => number): string => (sum(refusals.map(refusal => read(refusal))) / refusals.length).toFixed(1);
	return [
		`    ${reason}: ${refusals.length}, after ${getMean(refusal => refusal.waitedMilliseconds)} ms`,
		`the node held ${getMean(refusal => refusal.held)} slots, ${getMean(refusal => refusal.ownFree)} of them free`,
		`idle in its region ${getMean(refusal => refusal.idleInRegion)}, elsewhere ${getMean(refusal => refusal.idleElsewhere)}`,
	].join('; ');
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
