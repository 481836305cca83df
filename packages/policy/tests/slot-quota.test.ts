/** When a borrower returns slots to their lender, and which slot it releases when a request ends. */
import {describe, expect, test} from 'vitest';
import {
	type SlotQuota, borrowSlots, emptySlotQuota, getUsableSlots, getSlotLoansToReturn, getSlotToRelease, recallSlotLoan, releaseSlot, takeSlot,
} from '@catkindale/policy';

const deadlineAt = 5000;
const milliseconds = 15_000;

/** A quota of own slots and a loan of two slots received at time 0, with a slot taken for each request. */
function createQuota(allocation: number, requests: number): SlotQuota {
	let quota = borrowSlots({...emptySlotQuota, allocation}, {
		id: 'loan', slots: 2, requestedAt: 0, milliseconds,
	}, 0);
	for (let request = 0; request < requests; request++) {
		quota = takeSlot(quota, deadlineAt, 0)?.quota ?? quota;
	}

	return quota;
}

describe('a borrowed loan', () => {
	test.each([
		{
			name: 'is kept while it has been idle for a short time', allocation: 0, requests: 0, isRecalled: false, now: 200, returned: [],
		},
		{
			name: 'is returned after it has been idle for long', allocation: 0, requests: 0, isRecalled: false, now: 400, returned: ['loan'],
		},
		{
			name: 'is returned sooner while own slots are free', allocation: 1, requests: 0, isRecalled: false, now: 100, returned: ['loan'],
		},
		{
			name: 'is returned at once when the lender recalls it', allocation: 0, requests: 0, isRecalled: true, now: 0, returned: ['loan'],
		},
		{
			name: 'is kept while a request uses it', allocation: 0, requests: 1, isRecalled: true, now: 400, returned: [],
		},
	])('$name', ({allocation, requests, isRecalled, now, returned}) => {
		const quota = createQuota(allocation, requests);
		expect(getSlotLoansToReturn(isRecalled ? recallSlotLoan(quota, 'loan') : quota, now)).toEqual(returned);
	});

	test('takes no further request once it is recalled, and counts only its slots in use', () => {
		const quota = recallSlotLoan(createQuota(0, 1), 'loan');
		expect(takeSlot(quota, deadlineAt, 0)).toBeUndefined();
		expect(getUsableSlots(quota, 0)).toBe(1);
	});
});

type ReleaseCase = {
	readonly name: string;
	/** When each loan of one slot was requested; requests take the loans in this order. */
	readonly requestedAt: readonly number[];
	readonly deadlines: readonly number[];
	readonly recalled: string | undefined;
	readonly released: string;
};

test.each<ReleaseCase>([
	{
		name: 'the loan that ends first', requestedAt: [4000, 0], deadlines: [18_000, 10_000], recalled: undefined, released: '1',
	},
	{
		name: 'the loan that ends first, not a recalled one whose slot a longer request may need', requestedAt: [0, 4000], deadlines: [10_000, 18_000], recalled: '1', released: '0',
	},
	{
		name: 'the recalled loan if no request can run beyond the end of a loan', requestedAt: [0, 4000], deadlines: [10_000, 12_000], recalled: '1', released: '1',
	},
])('when a request ends, it releases a slot of $name', ({requestedAt, deadlines, recalled, released}) => {
	let quota = emptySlotQuota;
	for (const [index, at] of requestedAt.entries()) {
		quota = borrowSlots(quota, {
			id: String(index), slots: 1, requestedAt: at, milliseconds,
		}, at);
		quota = takeSlot(quota, deadlines[index]!, at)!.quota;
	}

	quota = recalled === undefined ? quota : recallSlotLoan(quota, recalled);
	const source = getSlotToRelease(quota, Math.max(...deadlines));
	expect(source).toEqual({kind: 'borrowed', id: released});
	expect(releaseSlot(quota, source, 5000).borrowed.find(({id}) => id === released)?.inUse).toBe(0);
});

test('a long request is never left with a loan that ends before it', () => {
	const loans = [{id: 'short', until: 0}, {id: 'long', until: 4000}];
	for (const recalled of ['short', 'long']) {
		let quota = emptySlotQuota;
		for (const {id, until} of loans) {
			quota = borrowSlots(quota, {
				id, slots: 1, requestedAt: until, milliseconds,
			}, until);
		}

		const deadlines = [10_000, 18_000];
		for (const deadline of deadlines) {
			quota = takeSlot(quota, deadline, 4000)!.quota;
		}

		quota = recallSlotLoan(quota, recalled);
		quota = releaseSlot(quota, getSlotToRelease(quota, 18_000), 5000);
		const remaining = quota.borrowed.find(loan => loan.inUse > 0);
		expect(remaining?.until).toBeGreaterThanOrEqual(18_000);
	}
});
