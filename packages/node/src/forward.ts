/**
 * Runs one attempt: sends a request to one target and receives its response.
 * Distinguishes a request that was never sent from one whose response is lost.
 */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {Readable} from 'node:stream';
import type {Dispatcher} from 'undici';
import {getErrorMessage, isInterimStatus, requestOutcomes} from '@catkindale/common';
import {
	type ResponseHead, type BufferedResponse, abortResponse, isBodylessResponse, writeResponseHead,
} from './target-response.js';
import {CallerBodyError} from './caller-body.js';
import {headerNames} from './constants.js';
import type {RequestDispatcher} from './link-meter.js';
import {getResponseHeaders} from './request-headers.js';
import {classifyHead} from './response-head-class.js';
import {createResponseLimits} from './response-limits.js';
import {
	type HeaderReader, type TargetDialect, type TargetStatement, defaultDialect,
} from './target-dialect.js';

export type ForwardOptions = {
	readonly dispatcher: RequestDispatcher;
	readonly method: string;
	readonly path: string;
	readonly headers: string[];
	readonly body: Buffer | Readable | null;
	readonly requestId: string;
	readonly deadlineMilliseconds: number;
	/** Whether a response without the request's identifier is rejected. */
	readonly requiresRequestIdEcho: boolean;
	/** Whether the request goes to another entry, whose reported outcome is passed on. */
	readonly isPeer?: boolean;
	/** Called when the response says that the target is leaving. */
	readonly onLeaving?: () => void;
	/** Returns the caller's response object for streaming; undefined if another attempt has claimed it. */
	readonly claimResponse: () => ServerResponse | undefined;
	/** Whether a response of unknown length is held until it is complete, as far as it can be buffered; false by default. */
	readonly isHeldUntilComplete?: () => boolean;
	/** The dialect of the target's headers; the product's own by default. */
	readonly dialect?: TargetDialect;
	/** Whether the connection was reset, so that a response without a length is incomplete. */
	readonly isConnectionReset?: () => boolean;
	/** Whether no earlier request was sent on the connection; false by default. */
	readonly isConnectionFresh?: () => boolean;
	/** Calls the listener with the size of each chunk that the connection receives; given if the dispatcher can tell. */
	readonly watchReceivedBytes?: (listener: (bytes: number) => void) => void;
	/** Called with what the target says of itself in its response. */
	readonly onStatement?: (statement: TargetStatement) => void;
};

/** `link` means that the quota of a link between regions had no capacity in time. */
export type AttemptFailureCause = 'target' | 'deadline' | 'link' | 'caller-gone' | 'superseded' | 'body-too-large' | 'body-too-slow';

/** The outcome of the request at this target. */
export type ForwardOutcome
	/** The complete response is buffered and not sent yet. */
	= | {readonly kind: 'answered'; readonly response: BufferedResponse; readonly echoesRequestId: boolean}
	/** The response was streamed to the caller. */
		| {readonly kind: 'streamed'; readonly status: number; readonly echoesRequestId: boolean}
	/** Nothing was sent to the target. */
		| {readonly kind: 'not-sent'; readonly cause: AttemptFailureCause; readonly reason: string}
	/** The response states that the request didn't run; `isOtherTarget` if another target has the address now. */
		| {readonly kind: 'shed'; readonly isOtherTarget?: boolean}
		| {readonly kind: 'lost'; readonly cause: AttemptFailureCause; readonly reason: string; readonly isStreaming: boolean};

export type Attempt = {
	readonly outcome: Promise<ForwardOutcome>;
	/** Resolves when nothing of the response is left to be read, which for a refusal is after its outcome. The result is false if the rest of the refusal took too long, so that the connection is broken. */
	readonly connectionFree: Promise<boolean>;
	/** Whether any of the request may have reached the target. */
	isSent: () => boolean;
	/** Cancels the request at the target and closes its connection. */
	abort: (cause: AttemptFailureCause) => void;
};

/** Ends an attempt early and holds the cause. */
export class AttemptAbortError extends Error {
	constructor(readonly abortCause: AttemptFailureCause, message: string) {
		super(message);
	}
}

type ResponseState
	= | {readonly kind: 'waiting'}
		| {readonly kind: 'buffered'; readonly head: ResponseHead; readonly echoesRequestId: boolean; readonly chunks: Buffer[]; bytes: number}
		| {readonly kind: 'streaming'; readonly head: ResponseHead; readonly echoesRequestId: boolean; readonly response: ServerResponse}
		| {readonly kind: 'discarded'};

/** Responses up to this size are sent only when they are complete. */
export const maximumBufferedResponseBytes = 65_536;
/** How long the rest of a refusal is read, so that its connection can be reused. */
const discardTimeoutMilliseconds = 1000;
const bodyFailureCauses = {'too-large': 'body-too-large', 'too-slow': 'body-too-slow', 'caller-gone': 'caller-gone'} as const;

export function forwardRequest(options: ForwardOptions): Attempt {
	const dialect = options.dialect ?? defaultDialect;
	let resolve: (outcome: ForwardOutcome) => void;
	const outcome = new Promise<ForwardOutcome>(resolvePromise => {
		resolve = resolvePromise;
	});
	let freeConnection: (isReusable: boolean) => void;
	const connectionFree = new Promise<boolean>(resolvePromise => {
		freeConnection = resolvePromise;
	});
	let controller: Dispatcher.DispatchController | undefined;
	let abortReason: AttemptAbortError | undefined;
	let isSettled = false;
	let responseState: ResponseState = {kind: 'waiting'};
	/** Whether the response is paused until its caller can take more. */
	let isWaitingForRoom = false;

	let discardTimer: NodeJS.Timeout | undefined;
	const abortDiscarded = (): void => {
		freeConnection(false);
		controller?.abort(new AttemptAbortError('target', 'the rest of the refusal took too long or is too large'));
	};

	const settle = (result: ForwardOutcome): void => {
		if (isSettled) {
			return;
		}

		isSettled = true;
		clearTimeout(timer);
		resolve(result);
		if (responseState.kind !== 'discarded') {
			freeConnection(true);
		}
	};

	const abort = (cause: AttemptFailureCause, message = `the attempt was aborted: ${cause}`): void => {
		if (isSettled) {
			return;
		}

		abortReason ??= new AttemptAbortError(cause, message);
		if (!controller) {
			settle({kind: 'not-sent', cause, reason: message});
			return;
		}

		controller.abort(abortReason);
		failWith(abortReason);
	};

	const failWith = (error: unknown): void => {
		const isStreaming = responseState.kind === 'streaming';
		if (responseState.kind === 'streaming') {
			abortResponse(responseState.response);
		}

		const details = {cause: getFailureCause(error), reason: getErrorMessage(error)};
		settle(controller ? {kind: 'lost', isStreaming, ...details} : {kind: 'not-sent', ...details});
	};

	const stream = (head: ResponseHead, echoesRequestId: boolean, chunks: readonly Buffer[]): void => {
		const response = options.claimResponse();
		if (!response) {
			abort('superseded');
			return;
		}

		responseState = {
			kind: 'streaming', head, echoesRequestId, response,
		};
		response.once('close', () => {
			abort('caller-gone');
		});
		writeResponseHead(response, head, options.requestId, dialect);
		for (const chunk of chunks) {
			writeChunk(response, chunk);
		}
	};

	const writeChunk = (response: ServerResponse, chunk: Buffer): void => {
		// The HTTP client passes on an empty chunk after each pause.
		if (chunk.length === 0 || response.write(chunk) || isWaitingForRoom) {
			return;
		}

		isWaitingForRoom = true;
		controller?.pause();
		response.once('drain', () => {
			// Node.js reports room also while a response behind this one is written, within the parsing of that one.
			setImmediate(() => {
				isWaitingForRoom = false;
				controller?.resume();
			});
		});
	};

	const streamIfIncomplete = (): void => {
		if (responseState.kind === 'buffered' && !isSettled) {
			stream(responseState.head, responseState.echoesRequestId, responseState.chunks);
		}
	};

	/** Accepts a refusal only if it certainly belongs to this request. */
	const receiveRefusal = (isCertain: boolean, isOtherTarget: boolean): void => {
		if (isCertain) {
			responseState = {kind: 'discarded'};
			discardTimer = setTimeout(abortDiscarded, discardTimeoutMilliseconds);
			settle(isOtherTarget ? {kind: 'shed', isOtherTarget} : {kind: 'shed'});
		} else {
			abort('target', 'the refusal doesn\'t contain the identifier of its request');
		}
	};

	const limits = createResponseLimits(reason => {
		if (responseState.kind === 'discarded') {
			abortDiscarded();
		} else {
			abort('target', reason);
		}
	});

	const receiveHead = (status: number, rawHeaders: readonly string[]): void => {
		const readHeader: HeaderReader = name => getRawHeader(rawHeaders, name);
		const headClass = classifyHead(options, dialect, {status, readHeader, transferEncoding: getTransferEncoding(rawHeaders)});
		if (headClass.kind === 'refusal') {
			receiveRefusal(headClass.isCertain, headClass.isOtherTarget);
			return;
		}

		if (headClass.kind === 'unusable') {
			abort('target', headClass.reason);
			return;
		}

		const {echoesRequestId} = headClass;
		const length = readHeader('content-length');
		const headers = getResponseHeaders(rawHeaders, readHeader('connection'));
		const replayed = options.isPeer ? readHeader(headerNames.replayed) : undefined;
		if (replayed !== undefined) {
			headers.push(headerNames.replayed, replayed);
		}

		const head: ResponseHead = options.isPeer ? {status, headers, outcome: requestOutcomes.find(allowed => allowed === readHeader(headerNames.outcome)) ?? 'unknown'} : {status, headers};
		responseState = {
			kind: 'buffered', head, echoesRequestId, chunks: [], bytes: 0,
		};
		if (length === undefined) {
			setImmediate(() => {
				// The HTTP client reports a reset later than this.
				if (!options.isHeldUntilComplete?.() && !options.isConnectionReset?.()) {
					streamIfIncomplete();
				}
			});
		} else if (Number(length) > maximumBufferedResponseBytes && !isBodylessResponse(options.method, status)) {
			stream(head, echoesRequestId, []);
		}
	};

	const receiveData = (chunk: Buffer): void => {
		limits.receiveContent();
		switch (responseState.kind) {
			case 'buffered': {
				responseState.chunks.push(chunk);
				responseState.bytes += chunk.length;
				if (responseState.bytes > maximumBufferedResponseBytes) {
					streamIfIncomplete();
				}

				return;
			}

			case 'streaming': {
				writeChunk(responseState.response, chunk);
				return;
			}

			case 'discarded': {
				limits.discardContent(chunk.length);
				return;
			}

			case 'waiting': {
				abort('target', 'body data arrived before the head of the response');
			}
		}
	};

	const receiveEnd = (): void => {
		clearTimeout(discardTimer);
		freeConnection(true);
		// The HTTP client reports a reset as the end of a response that is delimited by the close of its connection.
		if (options.isConnectionReset?.()) {
			failWith(new AttemptAbortError('target', 'the connection was reset during the response'));
			return;
		}

		if (responseState.kind === 'buffered') {
			settle({kind: 'answered', response: {...responseState.head, body: Buffer.concat(responseState.chunks)}, echoesRequestId: responseState.echoesRequestId});
		} else if (responseState.kind === 'streaming') {
			responseState.response.end();
			settle({kind: 'streamed', status: responseState.head.status, echoesRequestId: responseState.echoesRequestId});
		}
	};

	const timer = setTimeout(abort, Math.max(0, options.deadlineMilliseconds), 'deadline', 'the deadline has passed');
	options.dispatcher.dispatch({
		method: options.method,
		path: options.path,
		headers: options.headers,
		body: options.body,
		headersTimeout: 0,
		bodyTimeout: 0,
	}, {
		onRequestStart(requestController) {
			// The HTTP client may dispatch a request again after its connection broke, but it must be sent only once.
			if (abortReason ?? controller) {
				requestController.abort(abortReason ?? new AttemptAbortError('target', 'the connection broke'));
				return;
			}

			controller = requestController;
			options.watchReceivedBytes?.(limits.receiveBytes);
		},
		onResponseStart(requestController, status) {
			if (isInterimStatus(status)) {
				limits.receiveInterimHead();
				return;
			}

			limits.receiveContent();
			if (!isSettled) {
				receiveHead(status, decodeHeaders(requestController.rawHeaders));
			}
		},
		onResponseData(_controller, chunk) {
			receiveData(chunk);
		},
		onResponseEnd: receiveEnd,
		onResponseError(_controller, error) {
			clearTimeout(discardTimer);
			freeConnection(true);
			failWith(error);
		},
	});
	return {
		outcome, connectionFree, abort, isSent: () => controller !== undefined,
	};
}

function getFailureCause(error: unknown): AttemptFailureCause {
	if (error instanceof AttemptAbortError) {
		return error.abortCause;
	}

	return error instanceof CallerBodyError ? bodyFailureCauses[error.kind] : 'target';
}

function decodeHeaders(rawHeaders: Dispatcher.DispatchController['rawHeaders']): string[] {
	return Array.isArray(rawHeaders) ? rawHeaders.map(header => Buffer.isBuffer(header) ? header.toString('latin1') : String(header)) : [];
}

function getTransferEncoding(rawHeaders: readonly string[]): string | undefined {
	const values = rawHeaders.filter((_, index) => index % 2 === 1 && rawHeaders[index - 1]?.toLowerCase() === 'transfer-encoding');
	return values.length > 0 ? values.join(', ') : undefined;
}

function getRawHeader(rawHeaders: readonly string[], name: string): string | undefined {
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		if (rawHeaders[index]?.toLowerCase() === name) {
			return rawHeaders[index + 1];
		}
	}

	return undefined;
}
