/** An attempt that is aborted while its connection opens must not be sent afterwards. */
import type {Dispatcher} from 'undici';
import {describe, expect, it} from 'vitest';
import {type Attempt, forwardRequest} from '../src/forward.js';

type Handler = Dispatcher.DispatchHandler;

/** Starts an attempt on a connection that isn't open yet, and returns the function that opens it. */
function startUnopenedAttempt(): {readonly attempt: Attempt; readonly open: () => readonly unknown[]} {
	let handler: Handler | undefined;
	const attempt = forwardRequest({
		dispatcher: {
			dispatch(_options: unknown, givenHandler: Handler) {
				handler = givenHandler;
				return true;
			},
		},
		method: 'POST',
		path: '/orders/1',
		headers: [],
		body: null,
		requestId: 'order',
		deadlineMilliseconds: 1000,
		requiresRequestIdEcho: true,
		claimResponse: () => undefined,
	});
	return {
		attempt,
		open() {
			const aborted: unknown[] = [];
			handler?.onRequestStart?.({
				aborted: false,
				paused: false,
				reason: null,
				rawHeaders: [],
				rawTrailers: [],
				abort(reason: Error) {
					aborted.push(reason);
				},
				pause: () => undefined,
				resume: () => undefined,
			}, {});
			return aborted;
		},
	};
}

describe('an attempt', () => {
	it('that is aborted while its connection opens is never sent', async () => {
		const {attempt, open} = startUnopenedAttempt();
		expect(attempt.isSent()).toBe(false);
		attempt.abort('caller-gone');
		expect(await attempt.outcome).toMatchObject({kind: 'not-sent', cause: 'caller-gone'});
		expect(open()).toHaveLength(1);
		expect(attempt.isSent()).toBe(false);
	});

	it('counts as sent once its connection is open', async () => {
		const {attempt, open} = startUnopenedAttempt();
		expect(open()).toHaveLength(0);
		expect(attempt.isSent()).toBe(true);
		attempt.abort('caller-gone');
		expect(await attempt.outcome).toMatchObject({kind: 'lost', cause: 'caller-gone'});
	});
});
