/** Where something runs relative to this node. Bytes sent farther are dearer and share narrower links. */

export type Place = 'zone' | 'region' | 'remote';

export type Location = {readonly region: string; readonly zone: string};

/** Returns `region` for another availability zone of the own region. */
export function getPlace(own: Location, other: Location): Place {
	if (own.region !== other.region) {
		return 'remote';
	}

	return own.zone === other.zone ? 'zone' : 'region';
}
