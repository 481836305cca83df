/**
 * Tells when the configuration of this node is no longer proved to be current.
 * What waits until then for a token or a slot can't be served any more.
 */
import type {Clock} from '@catkindale/common';
import {type FreshnessValidity, expiredValidity, isFresh} from './freshness-validity.js';

export type KnowledgeExpiry = {
	readonly setValidity: (validity: FreshnessValidity) => void;
	readonly isCurrent: () => boolean;
	/** Calls the function once, when the validity has ended; returns a function that no longer waits for it. */
	readonly onExpiry: (run: () => void) => () => void;
	readonly stop: () => void;
};

export function createKnowledgeExpiry(clock: Clock): KnowledgeExpiry {
	const listeners = new Set<() => void>();
	let validity = expiredValidity;
	let timer: NodeJS.Timeout | undefined;

	const stop = (): void => {
		clearTimeout(timer);
		timer = undefined;
	};

	const check = (): void => {
		timer = undefined;
		if (isFresh(validity, clock)) {
			schedule();
			return;
		}

		const expired = [...listeners];
		listeners.clear();
		for (const run of expired) {
			run();
		}
	};

	const schedule = (): void => {
		const milliseconds = Math.min(validity.untilMonotonic - clock.monotonic(), validity.untilWall - clock.wall());
		timer ??= setTimeout(check, Math.max(0, Math.ceil(milliseconds)));
	};

	return {
		setValidity(next) {
			validity = next;
		},
		isCurrent: () => isFresh(validity, clock),
		onExpiry(run) {
			listeners.add(run);
			schedule();
			return () => {
				listeners.delete(run);
				if (listeners.size === 0) {
					stop();
				}
			};
		},
		stop,
	};
}
