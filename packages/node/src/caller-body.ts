/**
 * Reads a caller's request body within limits. A small body is read completely
 * before a target is chosen, so that a slow caller occupies no slot and the
 * body can be sent again. A large one is streamed after a buffered prefix.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Readable} from 'node:stream';
import VError from 'verror';
import {type Result, fail, succeed} from '@catkindale/common';

export type BodyFailureKind = 'too-large' | 'too-slow' | 'caller-gone';

/** Reports why a body couldn't be read to its end. */
export class CallerBodyError extends VError {
	constructor(readonly kind: BodyFailureKind) {
		super({name: 'CallerBodyError'}, 'the caller\'s body ended early: %s', kind);
	}
}

export type BodyLimits = {
	readonly maximumBytes: number;
	/** Bodies up to this size are buffered completely, so that they can be sent again. */
	readonly maximumBufferedBytes?: number;
	readonly idleTimeoutMilliseconds: number;
	/** Time limit for the prefix, which is read before a target is chosen. */
	readonly prefixTimeoutMilliseconds: number;
};

export type CallerBody = {
	/** The bytes read before dispatch: the whole body if it is small. */
	readonly prefix: Buffer;
	readonly isFullyBuffered: boolean;
	/** Returns the body for one more attempt: null if it is empty, undefined if it can't be sent again. */
	open: () => Buffer | Readable | null | undefined;
	/** Whether the body can be sent in one more attempt. */
	canOpen: () => boolean;
};

export const maximumBufferedBodyBytes = 65_536;
const emptyBody = Buffer.alloc(0);

type BodyEvents = {
	readonly onChunk: (chunk: Buffer) => void;
	readonly onEnd: () => void;
	readonly onFailure: (kind: BodyFailureKind) => void;
};

/** Source of a body's chunks that enforces the size limit and the idle timeout. */
type BodySource = {
	resume: () => void;
	pause: () => void;
	setEvents: (events: BodyEvents) => void;
	/** Reads the rest of the body and drops it. */
	discard: () => void;
};

export function hasBody(request: IncomingMessage): boolean {
	return request.headers['transfer-encoding'] !== undefined || Number(request.headers['content-length'] ?? 0) > 0;
}

/** Resolves once the body is complete or exceeds the buffer. Sends `100 Continue` to a caller that expects it. */
export async function readCallerBody(request: IncomingMessage, limits: BodyLimits, response: ServerResponse): Promise<Result<CallerBody, BodyFailureKind>> {
	if (!hasBody(request)) {
		return succeed(createBufferedBody(emptyBody));
	}

	if (Number(request.headers['content-length'] ?? 0) > limits.maximumBytes) {
		return fail('too-large');
	}

	if (request.headers.expect && request.httpVersion !== '1.0') {
		response.writeContinue();
	}

	const source = createBodySource(request, limits);
	// A target may answer before it has read the body; the caller's next request follows the rest of it.
	response.once('finish', source.discard);
	return readPrefix(source, limits);
}

async function readPrefix(source: BodySource, {prefixTimeoutMilliseconds, maximumBufferedBytes = maximumBufferedBodyBytes}: BodyLimits): Promise<Result<CallerBody, BodyFailureKind>> {
	return new Promise(resolve => {
		const chunks: Buffer[] = [];
		let bytes = 0;
		const settle = (result: Result<CallerBody, BodyFailureKind>): void => {
			clearTimeout(timer);
			source.pause();
			resolve(result);
		};

		const timer = setTimeout(settle, prefixTimeoutMilliseconds, fail('too-slow'));
		source.setEvents({
			onChunk(chunk) {
				chunks.push(chunk);
				bytes += chunk.length;
				if (bytes > maximumBufferedBytes) {
					settle(succeed(createStreamedBody(Buffer.concat(chunks), source)));
				}
			},
			onEnd() {
				settle(succeed(createBufferedBody(Buffer.concat(chunks))));
			},
			onFailure(kind) {
				settle(fail(kind));
			},
		});
		source.resume();
	});
}

function createBufferedBody(body: Buffer): CallerBody {
	return {
		prefix: body,
		isFullyBuffered: true,
		open: () => body.length > 0 ? body : null,
		canOpen: () => true,
	};
}

function createStreamedBody(prefix: Buffer, source: BodySource): CallerBody {
	let hasStartedStreaming = false;
	let state: 'open' | 'ended' | CallerBodyError = 'open';
	let reader: Readable | undefined;
	source.setEvents({
		onChunk(chunk) {
			if (reader?.push(chunk) === false) {
				source.pause();
			}
		},
		onEnd() {
			state = 'ended';
			reader?.push(null);
		},
		onFailure(kind) {
			state = new CallerBodyError(kind);
			reader?.destroy(state);
		},
	});

	const streamFromSource = (): void => {
		hasStartedStreaming = true;
		if (state === 'ended') {
			reader?.push(null);
		} else if (state === 'open') {
			source.resume();
		} else {
			reader?.destroy(state);
		}
	};

	const createReader = (): Readable => {
		let isPrefixSent = false;
		return new Readable({
			read() {
				if (isPrefixSent) {
					streamFromSource();
					return;
				}

				isPrefixSent = true;
				this.push(prefix);
			},
			destroy(error, callback) {
				source.pause();
				callback(error);
			},
		});
	};

	return {
		prefix,
		isFullyBuffered: false,
		open() {
			if (hasStartedStreaming) {
				return undefined;
			}

			reader = createReader();
			// The HTTP client listens only until its attempt has ended; the caller may leave later.
			reader.on('error', () => undefined);
			return reader;
		},
		canOpen: () => !hasStartedStreaming,
	};
}

function createBodySource(request: IncomingMessage, limits: BodyLimits): BodySource {
	let events: BodyEvents | undefined;
	let bytes = 0;
	let isFinished = false;
	let isDiscarded = false;
	const finish = (): void => {
		isFinished = true;
		clearTimeout(idleTimer);
	};

	const failWith = (kind: BodyFailureKind): void => {
		if (!isFinished) {
			finish();
			request.pause();
			events?.onFailure(kind);
		}
	};

	let idleTimer = setTimeout(failWith, limits.idleTimeoutMilliseconds, 'too-slow');
	request.on('data', (chunk: Buffer) => {
		if (isFinished) {
			return;
		}

		bytes += chunk.length;
		if (bytes > limits.maximumBytes) {
			failWith('too-large');
			return;
		}

		idleTimer.refresh();
		events?.onChunk(chunk);
	});
	request.once('end', () => {
		if (!isFinished) {
			finish();
			events?.onEnd();
		}
	});
	request.once('error', () => {
		failWith('caller-gone');
	});
	request.once('close', () => {
		failWith('caller-gone');
	});
	request.pause();
	const resume = (): void => {
		if (!isFinished) {
			clearTimeout(idleTimer);
			idleTimer = setTimeout(failWith, limits.idleTimeoutMilliseconds, 'too-slow');
			request.resume();
		}
	};

	return {
		resume,
		pause() {
			if (!isDiscarded) {
				clearTimeout(idleTimer);
				request.pause();
			}
		},
		setEvents(nextEvents) {
			events = nextEvents;
		},
		discard() {
			isDiscarded = true;
			events = {
				onChunk: () => undefined,
				onEnd: () => undefined,
				onFailure() {
					request.destroy();
				},
			};
			resume();
		},
	};
}
