/**
 * A gateway that starts remembers nothing, so it would take a copy that its
 * traffic source serves for the truth. It asks a peer first, and keeps what its
 * own source says until the peer has answered or none does in time.
 */
import type {Clock, Logger} from '@catkindale/common';

export type KnowledgeIntroduction = {
	isWaiting: () => boolean;
	/** Keeps a state of the node's own source until the wait ends; without a wait, applies it at once. */
	apply: (applyState: () => void) => void;
	/** Ends the wait because the peer has told what it knows. */
	end: (peer: string) => void;
	stop: () => void;
};

export type KnowledgeIntroductionOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	/** Without any, there is no wait. */
	readonly hasPeers: boolean;
};

/** Time after the first read within which a peer that could tell more must have answered. */
const waitMilliseconds = 500;

export function createKnowledgeIntroduction({clock, logger, hasPeers}: KnowledgeIntroductionOptions): KnowledgeIntroduction {
	const startedAt = clock.monotonic();
	const keptStates: Array<() => void> = [];
	let isWaiting = hasPeers;
	let timer: NodeJS.Timeout | undefined;

	const finish = (peer: string | undefined): void => {
		if (!isWaiting) {
			return;
		}

		isWaiting = false;
		clearTimeout(timer);
		logger.info('introduction_ended', {peer: peer ?? 'none', milliseconds: Math.round(clock.monotonic() - startedAt)});
		for (const applyState of keptStates) {
			applyState();
		}
	};

	return {
		isWaiting: () => isWaiting,
		apply(applyState) {
			if (!isWaiting) {
				applyState();
				return;
			}

			keptStates.push(applyState);
			timer ??= setTimeout(finish, waitMilliseconds, undefined);
		},
		end: finish,
		stop() {
			clearTimeout(timer);
		},
	};
}
