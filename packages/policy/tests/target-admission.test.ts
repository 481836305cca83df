/** How long a request is expected to wait, and so whether it is let in. */
import {expect, test} from 'vitest';
import {createRandom} from '@catkindale/common';
import {type AdmissionRequest, createTargetAdmission} from '@catkindale/policy';

const usualMilliseconds = 100;
const customer = 'mahlzeit';

type Case = {
	readonly title: string;
	readonly held: Record<string, number>;
	readonly recallable: number;
	/** Attempts at the own target that were lost. */
	readonly losses: number;
	/** Whether the last of five requests is, which are in time if they start within 300 ms; all slots held are in use. */
	readonly isLetIn: boolean;
};

test.each<Case>([
	{
		title: 'is refused when one slot can\'t serve all ahead of it in time', held: {own: 1}, recallable: 0, losses: 0, isLetIn: false,
	},
	{
		title: 'waits when own slots that are lent can be asked back', held: {own: 1}, recallable: 3, losses: 0, isLetIn: true,
	},
	{
		title: 'waits when slots were lent in another region', held: {own: 1, far: 3}, recallable: 0, losses: 0, isLetIn: true,
	},
	{
		title: 'is refused when the only target held is cut off for longer than it can wait', held: {own: 1}, recallable: 0, losses: 2, isLetIn: false,
	},
	{
		title: 'waits when that target is cut off and own slots elsewhere can be asked back', held: {own: 1}, recallable: 3, losses: 2, isLetIn: true,
	},
])('a request $title', ({held, recallable, losses, isLetIn}) => {
	const admission = createTargetAdmission<AdmissionRequest>({region: 'ost', random: createRandom(1), getRecallableSlots: () => recallable});
	admission.setTargets(Object.keys(held).map(name => ({name, region: name === 'own' ? 'ost' : 'west'})), 0);
	for (const [name, slots] of Object.entries(held)) {
		admission.chooser.setHeldSlots(name, slots, 0);
		admission.chooser.start(name, 0);
		admission.chooser.finish(name, {kind: 'answered', milliseconds: usualMilliseconds}, usualMilliseconds);
		for (let loss = 0; loss < losses; loss++) {
			admission.chooser.start(name, usualMilliseconds);
			admission.chooser.finish(name, {kind: 'lost', milliseconds: usualMilliseconds}, usualMilliseconds);
		}

		for (let slot = Math.min(losses, slots); slot < slots; slot++) {
			admission.chooser.start(name, usualMilliseconds);
		}
	}

	const answers = Array.from({length: 5}, () => admission.offer({
		customer, weight: 1, class: 'interactive', excluded: new Set(), queuedAt: usualMilliseconds, deadlineAt: usualMilliseconds * 5,
	}, usualMilliseconds));
	expect(answers.at(-1)?.kind).toBe(isLetIn ? 'waiting' : 'refused');
});
