/** The slots that this node may use at each target, and those in use. */
import {assertInvariant} from '@catkindale/common';
import {type Member, type Target, getSlotFloor} from '@catkindale/policy';

export type SlotQuota = {
	setTargets: (targets: readonly Target[]) => void;
	setMembers: (members: readonly Member[]) => void;
	/** Slots this node holds at the target now. */
	getHeld: (target: string) => number;
	getInUse: (target: string) => number;
	/** Takes a slot; false if none of those held is free. */
	take: (target: string) => boolean;
	release: (target: string) => void;
};

type Slots = {held: number; inUse: number};

export function createSlotQuota(ownId: string): SlotQuota {
	let targets: readonly Target[] = [];
	let members: readonly Member[] = [];
	const slotsByTarget = new Map<string, Slots>();

	const rebuild = (): void => {
		for (const target of targets) {
			const held = getSlotFloor(target, ownId, members);
			slotsByTarget.set(target.name, {held, inUse: slotsByTarget.get(target.name)?.inUse ?? 0});
		}
	};

	return {
		setTargets(next) {
			targets = next;
			rebuild();
		},
		setMembers(next) {
			members = next;
			rebuild();
		},
		getHeld: target => slotsByTarget.get(target)?.held ?? 0,
		getInUse: target => slotsByTarget.get(target)?.inUse ?? 0,
		take(target) {
			const slots = slotsByTarget.get(target);
			if (!slots || slots.inUse >= slots.held) {
				return false;
			}

			slots.inUse += 1;
			return true;
		},
		release(target) {
			const slots = slotsByTarget.get(target);
			assertInvariant(slots !== undefined && slots.inUse > 0, 'a slot is released once', {target});
			slots.inUse -= 1;
		},
	};
}
