/** What a caller is told when no target can be chosen for its request. */
import type {FinishChoice, FinishRequest} from '@catkindale/policy';

type FinishRefusal = Exclude<FinishChoice, {readonly kind: 'chosen'}>;

const noTargetRetryMilliseconds = 300;

/** Explains the refusal to the caller and in the log. */
export function describeRefusal(refusal: FinishRefusal, {remainingMilliseconds, isMeasured}: FinishRequest): string {
	switch (refusal.kind) {
		case 'no-target': {
			return 'no target may take the request now';
		}

		case 'too-late': {
			return `no target can answer within ${Math.round(remainingMilliseconds)} ms: the first is expected to take ${Math.round(refusal.expectedMilliseconds)} ms, by ${isMeasured ? 'measured' : 'assumed'} service times`;
		}

		case 'queue-full': {
			return `the queue of the best target is ${Math.round(refusal.waitMilliseconds)} ms too long`;
		}
	}
}

/** Returns the milliseconds after which a target may be able to accept the request. */
export function getRefusalWait(refusal: FinishRefusal, remainingMilliseconds: number): number {
	switch (refusal.kind) {
		case 'no-target': {
			return noTargetRetryMilliseconds;
		}

		case 'too-late': {
			return refusal.expectedMilliseconds - remainingMilliseconds;
		}

		case 'queue-full': {
			return refusal.waitMilliseconds;
		}
	}
}
