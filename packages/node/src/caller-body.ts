/**
 * Reads a caller's body within its limits. A small body is read whole before
 * a target is chosen, so that a slow caller holds no slot and the body can be
 * sent again; a large one is streamed, with its beginning kept in memory.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Readable} from 'node:stream';
import VError from 'verror';
import {type Result, fail, succeed} from '@catkindale/common';

export type BodyFailureKind = 'too-large' | 'too-slow' | 'caller-gone';

/** Why a body couldn't be read to its end. */
export class CallerBodyError extends VError {
	constructor(readonly kind: BodyFailureKind) {
		super({name: 'CallerBodyError'}, 'the caller\'s body ended early: %s', kind);
	}
}

export type BodyLimits = {
	readonly maximumBytes: number;
	/** Bodies up to this size are kept, so that they can be sent again. */
	readonly maximumBufferedBytes?: number;
	readonly idleTimeoutMilliseconds: number;
	/** Time for the part that is read before a target is chosen. */
	readonly prefixTimeoutMilliseconds: number;
};

export type CallerBody = {
	/** What is known of the body before dispatch; all of it if it is small. */
	readonly prefix: Buffer;
	readonly isFullyBuffered: boolean;
	/** The body for one more attempt; undefined if it can't be sent again. */
	open: () => Buffer | Readable | null | undefined;
	/** Whether `open` would give a body. */
	canOpen: () => boolean;
};

export const maximumBufferedBodyBytes = 65_536;
const emptyBody = Buffer.alloc(0);

type BodyEvents = {
	readonly onChunk: (chunk: Buffer) => void;
	readonly onEnd: () => void;
	readonly onFailure: (kind: BodyFailureKind) => void;
};

/** The source of the chunks: counts bytes and watches the caller's pace. */
type BodySource = {
	resume: () => void;
	pause: () => void;
	listen: (events: BodyEvents) => void;
};

export function hasBody(request: IncomingMessage): boolean {
	return request.headers['transfer-encoding'] !== undefined || Number(request.headers['content-length'] ?? 0) > 0;
}

/** Resolves once the body is whole or larger than what is kept in memory. A caller that waits to be asked for it is asked. */
export async function readCallerBody(request: IncomingMessage, limits: BodyLimits, response: ServerResponse): Promise<Result<CallerBody, BodyFailureKind>> {
	if (!hasBody(request)) {
		return succeed(createWholeBody(emptyBody));
	}

	if (Number(request.headers['content-length'] ?? 0) > limits.maximumBytes) {
		return fail('too-large');
	}

	if (request.headers.expect) {
		response.writeContinue();
	}

	const source = createSource(request, limits);
	return readPrefix(source, limits);
}

async function readPrefix(source: BodySource, {prefixTimeoutMilliseconds: deadlineMilliseconds, maximumBufferedBytes: bufferedBytes = maximumBufferedBodyBytes}: BodyLimits): Promise<Result<CallerBody, BodyFailureKind>> {
	return new Promise(resolve => {
		const chunks: Buffer[] = [];
		let bytes = 0;
		const settle = (result: Result<CallerBody, BodyFailureKind>): void => {
			clearTimeout(timer);
			source.pause();
			resolve(result);
		};

		const timer = setTimeout(settle, deadlineMilliseconds, fail('too-slow'));
		source.listen({
			onChunk(chunk) {
				chunks.push(chunk);
				bytes += chunk.length;
				if (bytes > bufferedBytes) {
					settle(succeed(createStreamedBody(Buffer.concat(chunks), source)));
				}
			},
			onEnd() {
				settle(succeed(createWholeBody(Buffer.concat(chunks))));
			},
			onFailure(kind) {
				settle(fail(kind));
			},
		});
		source.resume();
	});
}

function createWholeBody(body: Buffer): CallerBody {
	return {
		prefix: body,
		isFullyBuffered: true,
		open: () => body.length > 0 ? body : null,
		canOpen: () => true,
	};
}

function createStreamedBody(prefix: Buffer, source: BodySource): CallerBody {
	let isLiveStarted = false;
	let state: 'open' | 'ended' | CallerBodyError = 'open';
	let reader: Readable | undefined;
	source.listen({
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

	const readLive = (): void => {
		isLiveStarted = true;
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
					readLive();
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
			if (isLiveStarted) {
				return undefined;
			}

			reader = createReader();
			return reader;
		},
		canOpen: () => !isLiveStarted,
	};
}

function createSource(request: IncomingMessage, limits: BodyLimits): BodySource {
	let events: BodyEvents | undefined;
	let bytes = 0;
	let isOver = false;
	const finish = (): void => {
		isOver = true;
		clearTimeout(idle);
	};

	const failWith = (kind: BodyFailureKind): void => {
		if (!isOver) {
			finish();
			request.pause();
			events?.onFailure(kind);
		}
	};

	let idle = setTimeout(failWith, limits.idleTimeoutMilliseconds, 'too-slow');
	request.on('data', (chunk: Buffer) => {
		if (isOver) {
			return;
		}

		bytes += chunk.length;
		if (bytes > limits.maximumBytes) {
			failWith('too-large');
			return;
		}

		idle.refresh();
		events?.onChunk(chunk);
	});
	request.once('end', () => {
		if (!isOver) {
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
	return {
		resume() {
			if (!isOver) {
				clearTimeout(idle);
				idle = setTimeout(failWith, limits.idleTimeoutMilliseconds, 'too-slow');
				request.resume();
			}
		},
		pause() {
			clearTimeout(idle);
			request.pause();
		},
		listen(next) {
			events = next;
		},
	};
}
