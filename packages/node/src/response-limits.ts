/**
 * Limits of a response that its sender may continue without end: interim
 * responses, bytes that are neither the head nor content, and the rest of a
 * refusal. The HTTP client limits the size of each head and of the trailers.
 */
import {maximumInterimResponses} from '@catkindale/ports';

export type ResponseLimits = {
	/** Records a chunk that the connection has received, before it is parsed. */
	readonly receiveBytes: (bytes: number) => void;
	readonly receiveInterimHead: () => void;
	/** Records the final head or a part of the body. */
	readonly receiveContent: () => void;
	/** Records a part of the body of a refusal. */
	readonly discardContent: (bytes: number) => void;
};

/** Maximum bytes before the head or between two parts of the body, such as a status line or the extension of a chunk. */
const maximumIdleBytes = 65_536;
const maximumDiscardedBytes = 65_536;

/** @param onExceeded is called with the reason when the response exceeds a limit, possibly more than once */
export function createResponseLimits(onExceeded: (reason: string) => void): ResponseLimits {
	let interimResponses = 0;
	let discardedBytes = 0;
	/** Bytes received since the last part that is used. */
	let idleBytes = 0;
	return {
		receiveBytes(bytes) {
			// The latest chunk may have content, so it counts from the next one on.
			if (idleBytes > maximumIdleBytes) {
				onExceeded(`more than ${maximumIdleBytes} bytes arrived without a head or content`);
			}

			idleBytes += bytes;
		},
		receiveInterimHead() {
			interimResponses += 1;
			if (interimResponses > maximumInterimResponses) {
				onExceeded(`more than ${maximumInterimResponses} interim responses arrived`);
			}
		},
		receiveContent() {
			idleBytes = 0;
		},
		discardContent(bytes) {
			discardedBytes += bytes;
			if (discardedBytes > maximumDiscardedBytes) {
				onExceeded(`more than ${maximumDiscardedBytes} bytes of a refusal arrived`);
			}
		},
	};
}
