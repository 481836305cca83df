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
	getDispatcher: (pool: RequestDispatcher, remoteRequest: RemoteRequest) => RequestDispatcher;
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
const maximumChunkBytes = 65_536;
/** The part of its time that a request may wait for the link; the rest is for the target. */
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
							meteredHandler.onResponseError?.(unsentController, new AttemptAbortError('link', 'the link had no room in time'));
						}
					});
					return true;
				},
			};
		},
	};
}

/** Ends the waiting of a request that is too late for an answer or whose caller has gone; returns how to call it off. */
function closeOnTimeoutOrAbort(transfer: LinkTransfer, {deadlineMilliseconds, signal}: RemoteRequest): () => void {
	const timer = setTimeout(transfer.close, deadlineMilliseconds * maximumWaitFraction);
	signal.addEventListener('abort', transfer.close);
	return () => {
		clearTimeout(timer);
		signal.removeEventListener('abort', transfer.close);
	};
}

/** What must be reserved before a request is begun, so that one without room surely isn't sent. */
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

/** The body of a request, each part once it is reserved; it ends early with the transfer. */
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

/** A body of known length keeps it although it is sent in parts. */
function addContentLength(headers: Dispatcher.DispatchOptions['headers'], length: number): Dispatcher.DispatchOptions['headers'] {
	const headerList = Array.isArray(headers) ? headers : [];
	const hasLength = headerList.some((header, index) => index % 2 === 0 && header.toLowerCase() === 'content-length');
	return hasLength ? headerList : [...headerList, 'content-length', String(length)];
}

/**
 * Gives back what is reserved before the whole is waited for: transfers that
 * each kept a part could use up the burst, with none of them able to go on.
 */
function releaseAndReserve(transfer: LinkTransfer, bytes: number, onEnd: (isReserved: boolean) => void): void {
	transfer.release(transfer.getReserved());
	transfer.reserve(bytes, onEnd);
}

type MeteredExchange = {
	readonly request: LinkTransfer;
	readonly response: LinkTransfer;
	readonly method: string;
	/** The request's body as it was given. */
	readonly body: Dispatcher.DispatchOptions['body'];
};

function meterResponse(handler: Dispatcher.DispatchHandler, {request, response, method, body}: MeteredExchange): Dispatcher.DispatchHandler {
	let shared: SharedController | undefined;
	/** Bytes of the answer that are still to come; infinite if it doesn't tell its length. */
	let remaining = Infinity;
	const getShared = (controller: Dispatcher.DispatchController): SharedController => {
		shared ??= createSharedController(controller);
		return shared;
	};

	const close = (): void => {
		request.close();
		response.close();
	};

	/** Reserves what the next read may bring; until then nothing is read on. */
	const reserveNext = (controller: SharedController): void => {
		const needed = Math.min(linkReadBytes, remaining);
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
			if (status >= firstFinalStatus) {
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

/** Of a request that was never handed to a connection. */
const unsentController: Dispatcher.DispatchController = {
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
type SharedController = Dispatcher.DispatchController & {pauseForQuota: () => void; resumeFromQuota: () => void};

function createSharedController(controller: Dispatcher.DispatchController): SharedController {
	let isPausedByHandler = false;
	let isPausedForQuota = false;
	// The client can't go on with a connection in the middle of reading another, whose part may be what freed this one's.
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
