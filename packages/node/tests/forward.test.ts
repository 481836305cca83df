/** An attempt that ends before its connection is open sends nothing later. */
import type {Dispatcher} from 'undici';
import {describe, expect, it} from 'vitest';
import {type Attempt, forwardRequest} from '../src/forward.js';

type Handler = Dispatcher.DispatchHandler;

/** An attempt on a connection that is being opened, and the step that opens it. */
function startUnsentAttempt(): {readonly attempt: Attempt; readonly open: () => readonly unknown[]} {
	let handler: Handler | undefined;
	const attempt = forwardRequest({
		dispatcher: {
			dispatch(_options: unknown, given: Handler) {
				handler = given;
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
	it('that is given up while its connection opens provably never ran', async () => {
		const {attempt, open} = startUnsentAttempt();
		expect(attempt.isSent()).toBe(false);
		attempt.abort('caller-gone');
		expect(await attempt.outcome).toMatchObject({kind: 'not-sent', cause: 'caller-gone'});
		expect(open()).toHaveLength(1);
		expect(attempt.isSent()).toBe(false);
	});

	it('counts as sent from the moment at which its connection takes it', async () => {
		const {attempt, open} = startUnsentAttempt();
		expect(open()).toHaveLength(0);
		expect(attempt.isSent()).toBe(true);
		attempt.abort('caller-gone');
		expect(await attempt.outcome).toMatchObject({kind: 'lost', cause: 'caller-gone'});
	});
});
