/**
 * How long a target takes to begin its answer once it has the whole request.
 * The pace of the caller's body and of the answer's say nothing of the target.
 */
import {Readable} from 'node:stream';
import type {Dispatcher} from 'undici';
import type {Clock} from '@catkindale/common';
import type {RequestDispatcher} from './link-meter.js';

export type TimedDispatcher = RequestDispatcher & {
	/** Undefined before the head of the answer has come. */
	readonly getHeadMilliseconds: () => number | undefined;
};

const firstFinalStatus = 200;

/** A dispatcher that times its one request. */
export function createTimedDispatcher(pool: RequestDispatcher, clock: Clock): TimedDispatcher {
	let sentAt: number | undefined;
	let headMilliseconds: number | undefined;
	const markSent = (): void => {
		sentAt = clock.monotonic();
	};

	return {
		dispatch(options, handler) {
			if (options.body instanceof Readable) {
				options.body.once('end', markSent);
			}

			return pool.dispatch(options, {
				onRequestStart(controller, context) {
					sentAt ??= clock.monotonic();
					handler.onRequestStart?.(controller, context);
				},
				onResponseStart(controller, status, headers, message) {
					const now = clock.monotonic();
					headMilliseconds = status >= firstFinalStatus ? now - (sentAt ?? now) : undefined;
					handler.onResponseStart?.(controller, status, headers, message);
				},
				onResponseData(controller, chunk) {
					handler.onResponseData?.(controller, chunk);
				},
				onResponseEnd(controller, trailers) {
					handler.onResponseEnd?.(controller, trailers);
				},
				onResponseError(controller, error) {
					handler.onResponseError?.(controller, error);
				},
			});
		},
		getHeadMilliseconds: () => headMilliseconds,
	};
}
