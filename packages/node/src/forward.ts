/**
 * One attempt: hands a request to one target and takes its answer. Tells
 * apart a request that was never handed over from one whose answer is lost.
 */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {Readable} from 'node:stream';
import type {Dispatcher} from 'undici';
import {getErrorMessage, requestOutcomes} from '@catkindale/common';
import {
	type ResponseHead, type BufferedResponse, abortResponse, isBodylessResponse, writeResponseHead,
} from './target-response.js';
import {CallerBodyError} from './caller-body.js';
import {headerNames} from './constants.js';
import type {RequestDispatcher} from './link-meter.js';
import {getResponseHeaders} from './request-headers.js';
import {
	type HeaderReader, type ReportedLoad, type TargetDialect, defaultDialect,
} from './target-dialect.js';

export type ForwardOptions = {
	readonly dispatcher: RequestDispatcher;
	readonly method: string;
	readonly path: string;
	readonly headers: string[];
	readonly body: Buffer | Readable | null;
	readonly requestId: string;
	readonly deadlineMilliseconds: number;
	/** Whether an answer without the request's identifier is refused. */
	readonly requiresRequestIdEcho: boolean;
	/** Whether another entry answers, whose word on the outcome is passed on. */
	readonly isPeer?: boolean;
	/** Called when the target's answer says that it is leaving. */
	readonly onLeaving?: () => void;
	/** Gives the caller's response for a streamed answer; undefined if another attempt has it. */
	readonly claimResponse: () => ServerResponse | undefined;
	/** How the target tells about requests; the product's own way by default. */
	readonly dialect?: TargetDialect;
	/** Whether the connection was reset, so that an answer without length isn't whole. */
	readonly isConnectionReset?: () => boolean;
	/** Called with the load that the target's answer tells. */
	readonly onReportedLoad?: (load: ReportedLoad) => void;
};

/** `link` says that the quota of a link between regions gave no room in time. */
export type AttemptFailureCause = 'target' | 'deadline' | 'link' | 'caller-gone' | 'superseded' | 'body-too-large' | 'body-too-slow';

/** What became of the request at this target. */
export type ForwardOutcome
	/** The answer is held whole and not sent yet. */
	= | {readonly kind: 'answered'; readonly response: BufferedResponse; readonly echoesRequestId: boolean}
	/** The answer was passed on as it came. */
		| {readonly kind: 'streamed'; readonly status: number; readonly echoesRequestId: boolean}
	/** Nothing was handed to the target. */
		| {readonly kind: 'not-sent'; readonly cause: AttemptFailureCause; readonly reason: string}
	/** The target says by its contract that it didn't run the request; `isOther` if another one has its address now. */
		| {readonly kind: 'shed'; readonly isOtherTarget?: boolean}
		| {readonly kind: 'lost'; readonly cause: AttemptFailureCause; readonly reason: string; readonly isStreaming: boolean};

export type Attempt = {
	readonly outcome: Promise<ForwardOutcome>;
	/** Whether any of the request may have reached the target. */
	isSent: () => boolean;
	/** Cancels the request at the target and closes its connection. */
	abort: (cause: AttemptFailureCause) => void;
};

/** Why an attempt was ended early. */
export class AttemptAbortError extends Error {
	constructor(readonly abortCause: AttemptFailureCause, message: string) {
		super(message);
	}
}

type AnswerState
	= | {readonly kind: 'waiting'}
		| {readonly kind: 'held'; readonly head: ResponseHead; readonly isEchoed: boolean; readonly chunks: Buffer[]; bytes: number}
		| {readonly kind: 'streaming'; readonly head: ResponseHead; readonly isEchoed: boolean; readonly response: ServerResponse}
		| {readonly kind: 'discarded'};

/** Answers up to this size are sent only when they are whole. */
export const maximumBufferedResponseBytes = 65_536;
/** How long the rest of a refusal is read, so that its connection can be used again. */
const discardMilliseconds = 1000;
const firstFinalStatus = 200;
const bodyFailureCauses = {'too-large': 'body-too-large', 'too-slow': 'body-too-slow', 'caller-gone': 'caller-gone'} as const;

export function forwardRequest(options: ForwardOptions): Attempt {
	const dialect = options.dialect ?? defaultDialect;
	let resolve: (outcome: ForwardOutcome) => void;
	const outcome = new Promise<ForwardOutcome>(settled => {
		resolve = settled;
	});
	let controller: Dispatcher.DispatchController | undefined;
	let abortReason: AttemptAbortError | undefined;
	let isSettled = false;
	let answer: AnswerState = {kind: 'waiting'};

	let discardTimer: NodeJS.Timeout | undefined;
	const endDiscarded = (): void => {
		controller?.abort(new AttemptAbortError('target', 'the rest of the answer isn\'t needed'));
	};

	const settle = (result: ForwardOutcome): void => {
		if (isSettled) {
			return;
		}

		isSettled = true;
		clearTimeout(timer);
		resolve(result);
	};

	const abort = (cause: AttemptFailureCause, message = `ended early: ${cause}`): void => {
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
		const isStreaming = answer.kind === 'streaming';
		if (answer.kind === 'streaming') {
			abortResponse(answer.response);
		}

		const details = {cause: getCause(error), reason: getErrorMessage(error)};
		settle(controller ? {kind: 'lost', isStreaming, ...details} : {kind: 'not-sent', ...details});
	};

	const stream = (head: ResponseHead, isEchoed: boolean, chunks: readonly Buffer[]): void => {
		const response = options.claimResponse();
		if (!response) {
			abort('superseded');
			return;
		}

		answer = {
			kind: 'streaming', head, isEchoed, response,
		};
		response.once('close', () => {
			abort('caller-gone');
		});
		writeResponseHead(response, head, options.requestId, dialect);
		for (const chunk of chunks) {
			pass(response, chunk);
		}
	};

	const pass = (response: ServerResponse, chunk: Buffer): void => {
		if (!response.write(chunk)) {
			controller?.pause();
			response.once('drain', () => {
				controller?.resume();
			});
		}
	};

	const streamUnlessWhole = (): void => {
		if (answer.kind === 'held' && !isSettled) {
			stream(answer.head, answer.isEchoed, answer.chunks);
		}
	};

	/** Only an answer that is surely this request's own may say that it didn't run. */
	const receiveRefusal = (isEchoed: boolean, isOther: boolean): void => {
		if (isEchoed || dialect.acceptsRefusalWithoutRequestId) {
			answer = {kind: 'discarded'};
			discardTimer = setTimeout(endDiscarded, discardMilliseconds);
			settle(isOther ? {kind: 'shed', isOtherTarget: isOther} : {kind: 'shed'});
		} else {
			abort('target', 'a refusal doesn\'t tell which request it refuses');
		}
	};

	const receiveHead = (status: number, rawHeaders: readonly string[]): void => {
		const read: HeaderReader = name => getRawHeader(rawHeaders, name);
		const verdict = judgeHead(options, dialect, status, read);
		if (verdict.kind === 'refusal') {
			receiveRefusal(verdict.isEchoed, verdict.isOther);
			return;
		}

		if (verdict.kind === 'unusable') {
			abort('target', verdict.reason);
			return;
		}

		const {isEchoed} = verdict;
		const length = read('content-length');
		const headers = getResponseHeaders(rawHeaders, read('connection'));
		const replayed = options.isPeer ? read(headerNames.replayed) : undefined;
		if (replayed !== undefined) {
			headers.push(headerNames.replayed, replayed);
		}

		const head: ResponseHead = options.isPeer ? {status, headers, outcome: requestOutcomes.find(known => known === read(headerNames.outcome)) ?? 'unknown'} : {status, headers};
		answer = {
			kind: 'held', head, isEchoed, chunks: [], bytes: 0,
		};
		if (length === undefined) {
			setImmediate(streamUnlessWhole);
		} else if (Number(length) > maximumBufferedResponseBytes && !isBodylessResponse(options.method, status)) {
			stream(head, isEchoed, []);
		}
	};

	const receiveData = (chunk: Buffer): void => {
		switch (answer.kind) {
			case 'held': {
				answer.chunks.push(chunk);
				answer.bytes += chunk.length;
				if (answer.bytes > maximumBufferedResponseBytes) {
					streamUnlessWhole();
				}

				return;
			}

			case 'streaming': {
				pass(answer.response, chunk);
				return;
			}

			case 'discarded': {
				return;
			}

			case 'waiting': {
				abort('target', 'data came before the head of the answer');
			}
		}
	};

	const receiveEnd = (): void => {
		clearTimeout(discardTimer);
		// The client takes a reset for the end of an answer whose connection was to close.
		if (options.isConnectionReset?.()) {
			failWith(new AttemptAbortError('target', 'the connection was reset in the answer'));
			return;
		}

		if (answer.kind === 'held') {
			settle({kind: 'answered', response: {...answer.head, body: Buffer.concat(answer.chunks)}, echoesRequestId: answer.isEchoed});
		} else if (answer.kind === 'streaming') {
			answer.response.end();
			settle({kind: 'streamed', status: answer.head.status, echoesRequestId: answer.isEchoed});
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
		onRequestStart(started) {
			// The client may offer a request again after its connection broke; once is enough.
			if (abortReason ?? controller) {
				started.abort(abortReason ?? new AttemptAbortError('target', 'the connection broke'));
				return;
			}

			controller = started;
		},
		onResponseStart(started, status) {
			if (status >= firstFinalStatus && !isSettled) {
				receiveHead(status, getTexts(started.rawHeaders));
			}
		},
		onResponseData(_started, chunk) {
			receiveData(chunk);
		},
		onResponseEnd: receiveEnd,
		onResponseError(_started, error) {
			failWith(error);
		},
	});
	return {outcome, abort, isSent: () => controller !== undefined};
}

type HeadVerdict
	= | {readonly kind: 'answer'; readonly isEchoed: boolean}
		/** The target says that it didn't run the request. */
		| {readonly kind: 'refusal'; readonly isEchoed: boolean; readonly isOther: boolean}
		| {readonly kind: 'unusable'; readonly reason: string};

/** Whether the head belongs to the request and what it says; tells the load and a leaving target to those who asked. */
function judgeHead(options: ForwardOptions, dialect: TargetDialect, status: number, read: HeaderReader): HeadVerdict {
	const echoed = read(dialect.requestIdHeader);
	const isEchoed = echoed !== undefined;
	const isOther = dialect.isFromOtherTarget(status, read);
	const isRefusal = !options.isPeer && (isOther || dialect.isRefusal(status, read));
	if (!isEchoed && isRefusal && dialect.acceptsRefusalWithoutRequestId) {
		return {kind: 'refusal', isEchoed, isOther};
	}

	if (isEchoed ? echoed !== options.requestId : options.requiresRequestIdEcho) {
		return {kind: 'unusable', reason: 'the answer belongs to another request'};
	}

	if (isEchoed && dialect.isLeaving(read)) {
		options.onLeaving?.();
	}

	const load = dialect.getLoad(read);
	if (load) {
		options.onReportedLoad?.(load);
	}

	if (isRefusal) {
		return {kind: 'refusal', isEchoed, isOther};
	}

	if (!dialect.isFromTarget(status, read)) {
		return {kind: 'unusable', reason: 'the answer can\'t be the target\'s own'};
	}

	const isEndMarked = read('content-length') !== undefined || read('transfer-encoding') !== undefined;
	return isEndMarked || isBodylessResponse(options.method, status) || dialect.allowsResponseWithoutLength
		? {kind: 'answer', isEchoed}
		: {kind: 'unusable', reason: 'the answer doesn\'t tell where it ends'};
}

function getCause(error: unknown): AttemptFailureCause {
	if (error instanceof AttemptAbortError) {
		return error.abortCause;
	}

	return error instanceof CallerBodyError ? bodyFailureCauses[error.kind] : 'target';
}

function getTexts(rawHeaders: Dispatcher.DispatchController['rawHeaders']): string[] {
	return Array.isArray(rawHeaders) ? rawHeaders.map(header => Buffer.isBuffer(header) ? header.toString('latin1') : String(header)) : [];
}

function getRawHeader(rawHeaders: readonly string[], name: string): string | undefined {
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		if (rawHeaders[index]?.toLowerCase() === name) {
			return rawHeaders[index + 1];
		}
	}

	return undefined;
}
