/**
 * Keeps the bodies of requests to other regions, and of their answers, within
 * the quotas of the links. Bytes are reserved before they are passed on: a
 * request is sent, and an answer read on after its head, only with a
 * reservation for the next part.
 */
import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';
import type {Dispatcher} from 'undici';
import {type RequestClass, getLinkName, linkReadBytes} from '@catkindale/policy';
import {isBodylessResponse} from './target-response.js';
import {AttemptAbortError} from './forward.js';
import type {LinkQuotas, LinkTransfer} from './link-quotas.js';

export type RequestDispatcher = Pick<Dispatcher, 'dispatch'>;

export type LinkMeter = {
	/** Whether both ways between this region and the other let another request cross. */
	hasCapacityTo: (region: string) => boolean;
	/** The dispatcher for one request to a target of the region. */
	getDispatcher: (pool: RequestDispatcher, crossing: RemoteRequest) => RequestDispatcher;
};

export type RemoteRequest = {
	/** The region of the target. */
	readonly region: string;
	readonly class: RequestClass;
	readonly deadlineMilliseconds: number;
	/** Aborted when the caller goes away. */
	readonly signal: AbortSignal;
};

const firstFinalStatus = 200;
const largestPartBytes = 65_536;
/** The part of its time that a request may wait for the link; the rest is for the target. */
const longestWaitPart = 0.5;

export function createLinkMeter(links: LinkQuotas, ownRegion: string): LinkMeter {
	const getNames = (region: string): {readonly there: string; readonly back: string} => ({
		there: getLinkName({from: ownRegion, to: region}),
		back: getLinkName({from: region, to: ownRegion}),
	});

	return {
		hasCapacityTo(region) {
			const {there, back} = getNames(region);
			return links.hasCapacity(there) && links.hasCapacity(back);
		},
		getDispatcher(pool, crossing) {
			const {region, class: requestClass} = crossing;
			const {there, back} = getNames(region);
			if (region === ownRegion || !(links.isLimited(there) || links.isLimited(back))) {
				return pool;
			}

			return {
				dispatch(options, handler) {
					const request = links.openTransfer(there, requestClass);
					const answer = links.openTransfer(back, requestClass);
					const metered = meterAnswer(handler, {
						request, answer, method: options.method, body: options.body,
					});
					const firstBytes = getFirstBytes(options.body);
					if (firstBytes === 0) {
						return pool.dispatch(options, metered);
					}

					const callOff = closeWhenUseless(request, crossing);
					request.reserve(firstBytes, isReserved => {
						callOff();
						if (isReserved) {
							pool.dispatch(meterRequest(options, request), metered);
						} else {
							metered.onResponseError?.(unusedController, new AttemptAbortError('link', 'the link had no room in time'));
						}
					});
					return true;
				},
			};
		},
	};
}

/** Ends the waiting of a request that is too late for an answer or whose caller has gone; returns how to call it off. */
function closeWhenUseless(transfer: LinkTransfer, {deadlineMilliseconds, signal}: RemoteRequest): () => void {
	const timer = setTimeout(transfer.close, deadlineMilliseconds * longestWaitPart);
	signal.addEventListener('abort', transfer.close);
	return () => {
		clearTimeout(timer);
		signal.removeEventListener('abort', transfer.close);
	};
}

/** What must be reserved before a request is begun, so that one without room surely isn't sent. */
function getFirstBytes(body: Dispatcher.DispatchOptions['body']): number {
	if (Buffer.isBuffer(body)) {
		return Math.min(body.length, largestPartBytes);
	}

	return body instanceof Readable ? largestPartBytes : 0;
}

function meterRequest(options: Dispatcher.DispatchOptions, transfer: LinkTransfer): Dispatcher.DispatchOptions {
	const {body} = options;
	if (Buffer.isBuffer(body)) {
		return {...options, body: Readable.from(sendMetered([body], transfer)), headers: addLength(options.headers, body.length)};
	}

	return body instanceof Readable ? {...options, body: Readable.from(sendMetered(body, transfer))} : options;
}

/** The body of a request, each part once it is reserved; it ends early with the transfer. */
async function * sendMetered(chunks: Iterable<Buffer> | AsyncIterable<Buffer>, transfer: LinkTransfer): AsyncGenerator<Buffer> {
	for await (const chunk of chunks) {
		for (let start = 0; start < chunk.length; start += largestPartBytes) {
			const part = chunk.subarray(start, start + largestPartBytes);
			const isReserved = transfer.getReserved() >= part.length || await new Promise<boolean>(resolve => {
				reserveAnew(transfer, part.length, resolve);
			});
			if (!isReserved) {
				return;
			}

			transfer.consume(part.length);
			yield part;
		}
	}
}

/** A body of known length keeps it although it is sent in parts. */
function addLength(headers: Dispatcher.DispatchOptions['headers'], length: number): Dispatcher.DispatchOptions['headers'] {
	const list = Array.isArray(headers) ? headers : [];
	const hasLength = list.some((header, index) => index % 2 === 0 && header.toLowerCase() === 'content-length');
	return hasLength ? list : [...list, 'content-length', String(length)];
}

/**
 * Gives back what is reserved before the whole is waited for: transfers that
 * each kept a part could use up the burst, with none of them able to go on.
 */
function reserveAnew(transfer: LinkTransfer, bytes: number, onEnd: (isReserved: boolean) => void): void {
	transfer.release(transfer.getReserved());
	transfer.reserve(bytes, onEnd);
}

type MeteredParts = {
	readonly request: LinkTransfer;
	readonly answer: LinkTransfer;
	readonly method: string;
	/** The request's body as it was given. */
	readonly body: Dispatcher.DispatchOptions['body'];
};

function meterAnswer(handler: Dispatcher.DispatchHandler, {request, answer, method, body}: MeteredParts): Dispatcher.DispatchHandler {
	let shared: SharedController | undefined;
	/** Bytes of the answer that are still to come; infinite if it doesn't tell its length. */
	let remaining = Infinity;
	const getShared = (controller: Dispatcher.DispatchController): SharedController => {
		shared ??= createSharedController(controller);
		return shared;
	};

	const close = (): void => {
		request.close();
		answer.close();
	};

	/** Reserves what the next read may bring; until then nothing is read on. */
	const reserveNext = (controller: SharedController): void => {
		const needed = Math.min(linkReadBytes, remaining);
		if (answer.getReserved() < needed) {
			controller.hold();
			reserveAnew(answer, needed, isReserved => {
				if (isReserved) {
					controller.letGo();
				}
			});
		}
	};

	return {
		onRequestStart(controller, context) {
			handler.onRequestStart?.(getShared(controller), context);
		},
		onResponseStart(controller, status, headers, message) {
			if (status >= firstFinalStatus) {
				remaining = getBodyLength(method, status, headers['content-length']);
				reserveNext(getShared(controller));
			}

			handler.onResponseStart?.(getShared(controller), status, headers, message);
		},
		onResponseData(controller, chunk) {
			remaining -= chunk.length;
			answer.consume(chunk.length);
			reserveNext(getShared(controller));
			handler.onResponseData?.(getShared(controller), chunk);
		},
		onResponseEnd(controller, trailers) {
			close();
			handler.onResponseEnd?.(getShared(controller), trailers);
		},
		onResponseError(controller, error) {
			close();
			if (body instanceof Readable) {
				body.destroy();
			}

			handler.onResponseError?.(getShared(controller), error);
		},
	};
}

/** Of a request that was never handed to a connection. */
const unusedController: Dispatcher.DispatchController = {
	aborted: true,
	paused: false,
	reason: null,
	abort() {
		// Nothing was begun.
	},
	pause() {
		// Nothing comes.
	},
	resume() {
		// Nothing comes.
	},
};

/** Bytes of the answer's body; infinite if it doesn't tell. */
function getBodyLength(method: string, status: number, length: string | string[] | undefined): number {
	if (isBodylessResponse(method, status)) {
		return 0;
	}

	return length === undefined ? Infinity : Number(length);
}

/** A controller that two may pause; it goes on only when neither does. */
type SharedController = Dispatcher.DispatchController & {hold: () => void; letGo: () => void};

function createSharedController(controller: Dispatcher.DispatchController): SharedController {
	let isPaused = false;
	let isHeld = false;
	// The client can't go on with a connection in the middle of reading another, whose part may be what freed this one's.
	const goOn = (): void => {
		queueMicrotask(() => {
			if (!isPaused && !isHeld) {
				controller.resume();
			}
		});
	};

	return {
		get aborted() {
			return controller.aborted;
		},
		get paused() {
			return controller.paused;
		},
		get reason() {
			return controller.reason;
		},
		get rawHeaders() {
			return controller.rawHeaders ?? null;
		},
		get rawTrailers() {
			return controller.rawTrailers ?? null;
		},
		abort(reason) {
			controller.abort(reason);
		},
		pause() {
			isPaused = true;
			controller.pause();
		},
		resume() {
			isPaused = false;
			goOn();
		},
		hold() {
			isHeld = true;
			controller.pause();
		},
		letGo() {
			isHeld = false;
			goOn();
		},
	};
}
