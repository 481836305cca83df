/**
 * Limits the bodies of requests to remote regions, and of their responses, to
 * the quotas of the links. Bytes are reserved before they are transferred: a
 * request is sent, and the body of a response is read, only with a reservation
 * for the next chunk.
 */
import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';
import type {Dispatcher} from 'undici';
import {type RequestClass, getLinkName, maximumLinkReadBytes} from '@catkindale/policy';
import {isBodylessResponse} from './target-response.js';
import {AttemptAbortError} from './forward.js';
import type {LinkQuotas, LinkTransfer} from './link-quotas.js';

export type RequestDispatcher = Pick<Dispatcher, 'dispatch'>;

export type LinkMeter = {
	/** Whether the links in both directions between this region and the other have capacity for another request. */
	hasCapacityTo: (region: string) => boolean;
	/** Returns the dispatcher for one request to a target of the region. */
	getDispatcher: (pool: RequestDispatcher, remoteRequest: RemoteRequest) => RequestDispatcher;
};

export type RemoteRequest = {
	/** The region of the target. */
	readonly region: string;
	readonly class: RequestClass;
	readonly deadlineMilliseconds: number;
	/** Aborted when the caller disconnects. */
	readonly signal: AbortSignal;
};

const minimumFinalStatus = 200;
const maximumChunkBytes = 65_536;
/** The fraction of its remaining time for which a request may wait for the link; the rest is left to the target. */
const maximumWaitFraction = 0.5;

export function createLinkMeter(links: LinkQuotas, localRegion: string): LinkMeter {
	const getLinkNames = (region: string): {readonly outbound: string; readonly inbound: string} => ({
		outbound: getLinkName({from: localRegion, to: region}),
		inbound: getLinkName({from: region, to: localRegion}),
	});

	return {
		hasCapacityTo(region) {
			const {outbound, inbound} = getLinkNames(region);
			return links.hasCapacity(outbound) && links.hasCapacity(inbound);
		},
		getDispatcher(pool, remoteRequest) {
			const {region, class: requestClass} = remoteRequest;
			const {outbound, inbound} = getLinkNames(region);
			if (region === localRegion || !(links.isLimited(outbound) || links.isLimited(inbound))) {
				return pool;
			}

			return {
				dispatch(options, handler) {
					const request = links.openTransfer(outbound, requestClass);
					const response = links.openTransfer(inbound, requestClass);
					const meteredHandler = meterResponse(handler, {
						request, response, method: options.method, body: options.body,
					});
					const initialBytes = getInitialReservationBytes(options.body);
					if (initialBytes === 0) {
						return pool.dispatch(options, meteredHandler);
					}

					const stopWaiting = closeOnTimeoutOrAbort(request, remoteRequest);
					request.reserve(initialBytes, isReserved => {
						stopWaiting();
						if (isReserved) {
							pool.dispatch(meterRequest(options, request), meteredHandler);
						} else {
							meteredHandler.onResponseError?.(unsentController, new AttemptAbortError('link', 'the link had no capacity in time'));
						}
					});
					return true;
				},
			};
		},
	};
}

/**
 * Closes a transfer that has waited too long for its request to meet the
 * deadline, or whose caller has disconnected. Returns a function that cancels this.
 */
function closeOnTimeoutOrAbort(transfer: LinkTransfer, {deadlineMilliseconds, signal}: RemoteRequest): () => void {
	const timer = setTimeout(transfer.close, deadlineMilliseconds * maximumWaitFraction);
	signal.addEventListener('abort', transfer.close);
	return () => {
		clearTimeout(timer);
		signal.removeEventListener('abort', transfer.close);
	};
}

/** Returns the bytes to reserve before the dispatch, so that a request without quota is certainly not sent. */
function getInitialReservationBytes(body: Dispatcher.DispatchOptions['body']): number {
	if (Buffer.isBuffer(body)) {
		return Math.min(body.length, maximumChunkBytes);
	}

	return body instanceof Readable ? maximumChunkBytes : 0;
}

function meterRequest(options: Dispatcher.DispatchOptions, transfer: LinkTransfer): Dispatcher.DispatchOptions {
	const {body} = options;
	if (Buffer.isBuffer(body)) {
		return {...options, body: Readable.from(meterBody([body], transfer)), headers: addContentLength(options.headers, body.length)};
	}

	return body instanceof Readable ? {...options, body: Readable.from(meterBody(body, transfer))} : options;
}

/** Yields the body of a request, each chunk once it is reserved. Ends early if the transfer is closed. */
async function * meterBody(chunks: Iterable<Buffer> | AsyncIterable<Buffer>, transfer: LinkTransfer): AsyncGenerator<Buffer> {
	for await (const chunk of chunks) {
		for (let start = 0; start < chunk.length; start += maximumChunkBytes) {
			const slice = chunk.subarray(start, start + maximumChunkBytes);
			const isReserved = transfer.getReserved() >= slice.length || await new Promise<boolean>(resolve => {
				releaseAndReserve(transfer, slice.length, resolve);
			});
			if (!isReserved) {
				return;
			}

			transfer.consume(slice.length);
			yield slice;
		}
	}
}

/** Declares the content length of a buffered body, because the HTTP client doesn't know the length of a body that is sent in chunks. */
function addContentLength(headers: Dispatcher.DispatchOptions['headers'], length: number): Dispatcher.DispatchOptions['headers'] {
	const headerList = Array.isArray(headers) ? headers : [];
	const hasLength = headerList.some((header, index) => index % 2 === 0 && header.toLowerCase() === 'content-length');
	return hasLength ? headerList : [...headerList, 'content-length', String(length)];
}

/**
 * Releases the current reservation before it waits for the full amount.
 * Transfers that each kept a partial reservation could exhaust the burst, and
 * none of them could continue.
 */
function releaseAndReserve(transfer: LinkTransfer, bytes: number, onEnd: (isReserved: boolean) => void): void {
	transfer.release(transfer.getReserved());
	transfer.reserve(bytes, onEnd);
}

type MeteredExchange = {
	readonly request: LinkTransfer;
	readonly response: LinkTransfer;
	readonly method: string;
	/** The request's body as the caller passed it. */
	readonly body: Dispatcher.DispatchOptions['body'];
};

function meterResponse(handler: Dispatcher.DispatchHandler, {request, response, method, body}: MeteredExchange): Dispatcher.DispatchHandler {
	let shared: SharedController | undefined;
	/** Bytes of the response body that are still to come; infinite if its length isn't declared. */
	let remaining = Infinity;
	const getShared = (controller: Dispatcher.DispatchController): SharedController => {
		shared ??= createSharedController(controller);
		return shared;
	};

	const close = (): void => {
		request.close();
		response.close();
	};

	/** Reserves the bytes of the next read and pauses reading until they are reserved. */
	const reserveNext = (controller: SharedController): void => {
		const needed = Math.min(maximumLinkReadBytes, remaining);
		if (response.getReserved() < needed) {
			controller.pauseForQuota();
			releaseAndReserve(response, needed, isReserved => {
				if (isReserved) {
					controller.resumeFromQuota();
				}
			});
		}
	};

	return {
		onRequestStart(controller, context) {
			handler.onRequestStart?.(getShared(controller), context);
		},
		onResponseStart(controller, status, headers, message) {
			if (status >= minimumFinalStatus) {
				remaining = getBodyLength(method, status, headers['content-length']);
				reserveNext(getShared(controller));
			}

			handler.onResponseStart?.(getShared(controller), status, headers, message);
		},
		onResponseData(controller, chunk) {
			remaining -= chunk.length;
			response.consume(chunk.length);
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

/** The controller of a request that was never passed to a connection. */
const unsentController: Dispatcher.DispatchController = {
	aborted: true,
	paused: false,
	reason: null,
	abort() {
		// No request was started.
	},
	pause() {
		// No data arrives.
	},
	resume() {
		// No data arrives.
	},
};

/** Returns the bytes of the response body; infinite if its length isn't declared. */
function getBodyLength(method: string, status: number, length: string | string[] | undefined): number {
	if (isBodylessResponse(method, status)) {
		return 0;
	}

	return length === undefined ? Infinity : Number(length);
}

/** A controller that the handler and the quota may both pause; reading resumes only when neither does. */
type SharedController = Dispatcher.DispatchController & {pauseForQuota: () => void; resumeFromQuota: () => void};

function createSharedController(controller: Dispatcher.DispatchController): SharedController {
	let isPausedByHandler = false;
	let isPausedForQuota = false;
	// Deferred: a read of another connection may have freed this one's bytes, and undici can't resume a connection in the middle of such a read.
	const resumeUnlessPaused = (): void => {
		queueMicrotask(() => {
			if (!isPausedByHandler && !isPausedForQuota) {
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
			isPausedByHandler = true;
			controller.pause();
		},
		resume() {
			isPausedByHandler = false;
			resumeUnlessPaused();
		},
		pauseForQuota() {
			isPausedForQuota = true;
			controller.pause();
		},
		resumeFromQuota() {
			isPausedForQuota = false;
			resumeUnlessPaused();
		},
	};
}
