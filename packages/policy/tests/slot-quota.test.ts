/** When borrowed slots go back to their lender. */
import {describe, expect, test} from 'vitest';
import {
	type SlotQuota, borrowSlots, emptySlotQuota, getUsableSlots, getSlotLoansToReturn, getSlotToRelease, recallSlotLoan, releaseSlot, takeSlot,
} from '@catkindale/policy';

const deadlineAt = 5000;
const milliseconds = 15_000;

/** Holds so many own slots and a loan of two that came in at time 0. */
function createHolding(floor: number, uses: number): SlotQuota {
	let holding = borrowSlots({...emptySlotQuota, allocation: floor}, {
		id: 'loan', slots: 2, requestedAt: 0, milliseconds,
	}, 0);
	for (let use = 0; use < uses; use++) {
		holding = takeSlot(holding, deadlineAt, 0)?.quota ?? holding;
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
		expect(getSlotLoansToReturn(isRecalled ? recallSlotLoan(holding, 'loan') : holding, now)).toEqual(returned);
	});

	test('takes no further request once it is recalled, and counts only what runs on it', () => {
		const holding = recallSlotLoan(createHolding(0, 1), 'loan');
		expect(takeSlot(holding, deadlineAt, 0)).toBeUndefined();
		expect(getUsableSlots(holding, 0)).toBe(1);
	});
});

type ReleaseCase = {
	readonly name: string;
	/** When each loan of one slot was asked for; requests take them in this order. */
	readonly askedAt: readonly number[];
	readonly deadlines: readonly number[];
	readonly recalled: string | undefined;
	readonly released: string;
};

test.each<ReleaseCase>([
	{
		name: 'the loan that ends first', askedAt: [4000, 0], deadlines: [18_000, 10_000], recalled: undefined, released: '1',
	},
	{
		name: 'not a later one that is recalled, on which a request may run on', askedAt: [0, 4000], deadlines: [10_000, 18_000], recalled: '1', released: '0',
	},
	{
		name: 'the recalled one where no request can outlast a loan', askedAt: [0, 4000], deadlines: [10_000, 12_000], recalled: '1', released: '1',
	},
])('when a request ends, it gives back $name', ({askedAt, deadlines, recalled, released}) => {
	let holding = emptySlotQuota;
	for (const [index, at] of askedAt.entries()) {
		holding = borrowSlots(holding, {
			id: String(index), slots: 1, requestedAt: at, milliseconds,
		}, at);
		holding = takeSlot(holding, deadlines[index]!, at)!.quota;
	}

	holding = recalled === undefined ? holding : recallSlotLoan(holding, recalled);
	const use = getSlotToRelease(holding, Math.max(...deadlines));
	expect(use).toEqual({kind: 'borrowed', id: released});
	expect(releaseSlot(holding, use, 5000).borrowed.find(({id}) => id === released)?.inUse).toBe(0);
});

test('a long request is never left on a loan that ends before it', () => {
	const loans = [{id: 'short', until: 0}, {id: 'long', until: 4000}];
	for (const recalled of ['short', 'long']) {
		let holding = emptySlotQuota;
		for (const {id, until} of loans) {
			holding = borrowSlots(holding, {
				id, slots: 1, requestedAt: until, milliseconds,
			}, until);
		}

		const deadlines = [10_000, 18_000];
		for (const deadline of deadlines) {
			holding = takeSlot(holding, deadline, 4000)!.quota;
		}

		holding = recallSlotLoan(holding, recalled);
		holding = releaseSlot(holding, getSlotToRelease(holding, 18_000), 5000);
		const stays = holding.borrowed.find(loan => loan.inUse > 0);
		expect(stays?.until).toBeGreaterThanOrEqual(18_000);
	}
});
