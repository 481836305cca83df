/**
 * Measures the time from the moment at which a target has the complete request
 * to the head of its response. The transfer times of the two bodies are left
 * out, because they don't show how fast the target is.
 */
import {Readable} from 'node:stream';
import type {Dispatcher} from 'undici';
import type {Clock} from '@catkindale/common';
import type {RequestDispatcher} from './link-meter.js';

export type TimedDispatcher = RequestDispatcher & {
	/** Undefined until the head of the final response has arrived. */
	readonly getTimeToHeadMilliseconds: () => number | undefined;
};

const minimumFinalStatus = 200;

/** Wraps a dispatcher to time a single request. */
export function createTimedDispatcher(dispatcher: RequestDispatcher, clock: Clock): TimedDispatcher {
	let sentAt: number | undefined;
	let timeToHeadMilliseconds: number | undefined;
	const markSent = (): void => {
		sentAt = clock.monotonic();
	};

	return {
		dispatch(options, handler) {
			if (options.body instanceof Readable) {
				options.body.once('end', markSent);
			}

			return dispatcher.dispatch(options, {
				onRequestStart(controller, context) {
					sentAt ??= clock.monotonic();
					handler.onRequestStart?.(controller, context);
				},
				onResponseStart(controller, status, headers, message) {
					const now = clock.monotonic();
					timeToHeadMilliseconds = status >= minimumFinalStatus ? now - (sentAt ?? now) : undefined;
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
		getTimeToHeadMilliseconds: () => timeToHeadMilliseconds,
	};
}
