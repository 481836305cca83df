/** When borrowed slots go back to their lender. */
import {describe, expect, test} from 'vitest';
import {
	type SlotHolding, borrowSlots, emptyHolding, getHeldSlots, getLoansToReturn, recallSlots, takeSlot,
} from '@catkindale/policy';

const deadlineAt = 5000;

/** Holds so many own slots and a loan of two that came in at time 0. */
function createHolding(floor: number, uses: number): SlotHolding {
	let holding = borrowSlots({...emptyHolding, floor}, {id: 'loan', slots: 2, askedAt: 0}, 0);
	for (let use = 0; use < uses; use++) {
		holding = takeSlot(holding, deadlineAt, 0)?.holding ?? holding;
	}

	return holding;
}

describe('a borrowed slot', () => {
	test.each([
		{
			name: 'is kept while it may be needed soon', floor: 0, uses: 0, isRecalled: false, now: 200, returned: [],
		},
		{
			name: 'goes back when it was idle for long', floor: 0, uses: 0, isRecalled: false, now: 400, returned: ['loan'],
		},
		{
			name: 'goes back soon while own slots are free', floor: 1, uses: 0, isRecalled: false, now: 100, returned: ['loan'],
		},
		{
			name: 'goes back at once when the lender recalls it', floor: 0, uses: 0, isRecalled: true, now: 0, returned: ['loan'],
		},
		{
			name: 'stays while a request runs on it', floor: 0, uses: 1, isRecalled: true, now: 400, returned: [],
		},
	])('$name', ({floor, uses, isRecalled, now, returned}) => {
		const holding = createHolding(floor, uses);
		expect(getLoansToReturn(isRecalled ? recallSlots(holding, 'loan') : holding, now)).toEqual(returned);
	});

	test('takes no further request once it is recalled, and counts only what runs on it', () => {
		const holding = recallSlots(createHolding(0, 1), 'loan');
		expect(takeSlot(holding, deadlineAt, 0)).toBeUndefined();
		expect(getHeldSlots(holding, 0)).toBe(1);
	});
});
