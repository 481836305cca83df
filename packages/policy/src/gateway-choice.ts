/**
 * Chooses the gateways that a caller should use: those of its zone unless they
 * are busy, otherwise those of its region, otherwise all.
 */
import type {Member} from './member.js';

export type CallerLocation = {
	readonly region: string;
	readonly zone: string;
	/** Utilization of each gateway's event loop, from 0 to 1, by gateway identifier. */
	readonly utilizations: ReadonlyMap<string, number>;
};

type LocatedMember = Pick<Member, 'id' | 'region' | 'zone'>;

/** Above this utilization requests wait at gateways for some milliseconds, and above 0.9 for long. */
const busyUtilization = 0.6;

export function chooseGateways<Gateway extends LocatedMember>(serving: readonly Gateway[], location: CallerLocation): readonly Gateway[] {
	const inZone = serving.filter(({zone}) => zone === location.zone);
	const inRegion = serving.filter(({region}) => region === location.region);
	if (inZone.length > 0 && getMeanUtilization(inZone, location.utilizations) < busyUtilization) {
		return inZone;
	}

	return inRegion.length > 0 ? inRegion : serving;
}

function getMeanUtilization(gateways: readonly LocatedMember[], utilizations: ReadonlyMap<string, number>): number {
	return gateways.reduce((sum, {id}) => sum + (utilizations.get(id) ?? 0), 0) / gateways.length;
}
