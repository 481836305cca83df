/** Which gateways a caller should use: those of its own zone, else of its region, else all. */
import type {Member} from './member.js';

export type CallerPlace = {readonly region: string; readonly zone: string};

type PlacedMember = Pick<Member, 'region' | 'zone'>;

export function chooseGateways<Gateway extends PlacedMember>(serving: readonly Gateway[], place: CallerPlace): readonly Gateway[] {
	const inZone = serving.filter(({zone}) => zone === place.zone);
	if (inZone.length > 0) {
		return inZone;
	}

	const inRegion = serving.filter(({region}) => region === place.region);
	return inRegion.length > 0 ? inRegion : serving;
}
