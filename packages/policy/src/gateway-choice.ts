/**
 * Which gateways a caller should use: those of its own zone while they have
 * time to spare, else those of its region, else all.
 */
import type {Member} from './member.js';

export type CallerLocation = {
	readonly region: string;
	readonly zone: string;
	/** The busy part of each gateway's time, by its identifier. */
	readonly utilizations: ReadonlyMap<string, number>;
};

type PlacedMember = Pick<Member, 'id' | 'region' | 'zone'>;

/** Above this use of their time requests wait at gateways for some milliseconds, and at half as much more for long. */
const busyUse = 0.6;

export function chooseGateways<Gateway extends PlacedMember>(serving: readonly Gateway[], place: CallerLocation): readonly Gateway[] {
	const inZone = serving.filter(({zone}) => zone === place.zone);
	const inRegion = serving.filter(({region}) => region === place.region);
	if (inZone.length > 0 && getMeanUse(inZone, place.utilizations) < busyUse) {
		return inZone;
	}

	return inRegion.length > 0 ? inRegion : serving;
}

function getMeanUse(gateways: readonly PlacedMember[], uses: ReadonlyMap<string, number>): number {
	return gateways.reduce((sum, {id}) => sum + (uses.get(id) ?? 0), 0) / gateways.length;
}
