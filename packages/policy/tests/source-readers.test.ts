/** The gateways that follow the store for a region: few at any size of the fleet, and never none while one reaches the store. */
import {describe, expect, it} from 'vitest';
import {type SourceCandidate, chooseSourceReaders} from '@catkindale/policy';

const regions = ['east', 'west', 'north'];

function createFleet(size: number, isFailing: (index: number) => boolean = () => false): SourceCandidate[] {
	return Array.from({length: size}, (_, index) => ({id: `gateway-${index}`, region: regions[index % regions.length]!, isFailing: isFailing(index)}));
}

function getRegion(id: string): string {
	return regions[Number(id.split('-')[1]) % regions.length]!;
}

describe('the gateways that follow the store', () => {
	const sizes = [{size: 1, readers: 1}, {size: 2, readers: 2}, {size: 9, readers: 6}, {size: 195, readers: 6}, {size: 3900, readers: 6}];
	it.each(sizes)('are $readers of $size', ({size, readers}) => {
		expect(new Set(chooseSourceReaders(createFleet(size))).size).toBe(readers);
	});

	it.each([9, 195])('are the same in the view of each of %i gateways, whatever the order', size => {
		const fleet = createFleet(size);
		expect(new Set(chooseSourceReaders(fleet.toReversed()))).toEqual(new Set(chooseSourceReaders(fleet)));
	});

	it('change by one in the region of a gateway that is lost, and not elsewhere', () => {
		const fleet = createFleet(195);
		const before = chooseSourceReaders(fleet);
		const after = chooseSourceReaders(fleet.filter(({id}) => id !== before[0]));
		expect(after.filter(id => !before.includes(id)).map(id => getRegion(id))).toEqual([getRegion(before[0]!)]);
	});

	const failures = [
		{name: 'none', isFailing: () => false, working: 6},
		{name: 'those of one region', isFailing: (index: number) => index % regions.length === 0, working: 4},
		{name: 'two of three', isFailing: (index: number) => index % 10 < 7, working: 6},
		{name: 'all but one', isFailing: (index: number) => index !== 100, working: 1},
		{name: 'all', isFailing: () => true, working: 0},
	];
	it.each(failures)('include two that reach the store in each region where the store turns away $name', ({isFailing, working}) => {
		const fleet = createFleet(195, isFailing);
		const readers = new Set(chooseSourceReaders(fleet));
		expect(fleet.filter(candidate => readers.has(candidate.id) && !candidate.isFailing).length).toBe(working);
	});
});
