/** The expected wait of a request decides whether it is admitted. */
import {expect, test} from 'vitest';
import {createRandom} from '@catkindale/common';
import {type AdmissionRequest, createTargetAdmission} from '@catkindale/policy';

const latencyMilliseconds = 100;
const customer = 'mahlzeit';

type Case = {
	readonly title: string;
	readonly held: Record<string, number>;
	readonly recallable: number;
	/** Lost attempts at the local target. */
	readonly losses: number;
	/** Whether the last of five requests is admitted. A request is in time if it starts within 300 ms; all held slots are in use. */
	readonly isAdmitted: boolean;
};

test.each<Case>([
	{
		title: 'is refused when one slot can\'t serve all requests ahead in time', held: {own: 1}, recallable: 0, losses: 0, isAdmitted: false,
	},
	{
		title: 'waits when lent slots can be recalled', held: {own: 1}, recallable: 3, losses: 0, isAdmitted: true,
	},
	{
		title: 'waits when the node holds slots in a remote region', held: {own: 1, far: 3}, recallable: 0, losses: 0, isAdmitted: true,
	},
	{
		title: 'is refused when the only target is cut off for longer than the request can wait', held: {own: 1}, recallable: 0, losses: 2, isAdmitted: false,
	},
	{
		title: 'waits when that target is cut off and lent slots can be recalled', held: {own: 1}, recallable: 3, losses: 2, isAdmitted: true,
	},
])('a request $title', ({held, recallable, losses, isAdmitted}) => {
	const admission = createTargetAdmission<AdmissionRequest>({region: 'ost', random: createRandom(1), getRecallableSlots: () => recallable});
	admission.setTargets(Object.keys(held).map(name => ({name, region: name === 'own' ? 'ost' : 'west'})), 0);
	for (const [name, slots] of Object.entries(held)) {
		admission.chooser.setHeldSlots(name, slots, 0);
		admission.chooser.start(name, 0);
		admission.chooser.finish(name, {kind: 'answered', milliseconds: latencyMilliseconds}, latencyMilliseconds);
		for (let loss = 0; loss < losses; loss++) {
			admission.chooser.start(name, latencyMilliseconds);
			admission.chooser.finish(name, {kind: 'lost', milliseconds: latencyMilliseconds}, latencyMilliseconds);
		}

		for (let slot = Math.min(losses, slots); slot < slots; slot++) {
			admission.chooser.start(name, latencyMilliseconds);
		}
	}

	const results = Array.from({length: 5}, () => admission.offer({
		customer, weight: 1, class: 'interactive', excluded: new Set(), queuedAt: latencyMilliseconds, deadlineAt: latencyMilliseconds * 5,
	}, latencyMilliseconds));
	expect(results.at(-1)?.kind).toBe(isAdmitted ? 'waiting' : 'refused');
});
