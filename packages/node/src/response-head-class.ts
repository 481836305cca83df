/**
 * Classifies the head of a target's response: whether it is the response to
 * the request, a refusal that states that the request didn't run, or neither.
 */
import {isValidStatus} from '@catkindale/common';
import type {ForwardOptions} from './forward.js';
import type {HeaderReader, TargetDialect} from './target-dialect.js';
import {isBodylessResponse} from './target-response.js';

export type HeadClass
	= | {readonly kind: 'response'; readonly echoesRequestId: boolean}
		/** The target states that it didn't run a request; `isCertain` if it can be no other than this one. */
		| {readonly kind: 'refusal'; readonly isCertain: boolean; readonly isOtherTarget: boolean}
		| {readonly kind: 'unusable'; readonly reason: string};

/** Classifies the head of a response; calls `onLeaving` and `onStatement` with what the target says of itself. */
export function classifyHead(options: ForwardOptions, dialect: TargetDialect, status: number, readHeader: HeaderReader): HeadClass {
	if (!isValidStatus(status)) {
		return {kind: 'unusable', reason: 'the status is outside the range of HTTP'};
	}

	const echoedRequestId = readHeader(dialect.requestIdHeader);
	const echoesRequestId = echoedRequestId !== undefined;
	const isOtherTarget = dialect.isFromOtherTarget(status, readHeader);
	const isRefusal = !options.isPeer && (isOtherTarget || dialect.isRefusal(status, readHeader));
	if (!echoesRequestId && isRefusal && dialect.acceptsRefusalWithoutRequestId && options.isConnectionFresh?.()) {
		options.onStatement?.(dialect.getStatement(status, readHeader));
		return {kind: 'refusal', isCertain: true, isOtherTarget};
	}

	if (echoesRequestId ? echoedRequestId !== options.requestId : options.requiresRequestIdEcho) {
		return {kind: 'unusable', reason: 'the response belongs to another request'};
	}

	if (echoesRequestId && dialect.isLeaving(readHeader)) {
		options.onLeaving?.();
	}

	options.onStatement?.(dialect.getStatement(status, readHeader));
	if (isRefusal) {
		return {kind: 'refusal', isCertain: echoesRequestId, isOtherTarget};
	}

	if (!dialect.isFromTarget(status, readHeader)) {
		return {kind: 'unusable', reason: 'the response doesn\'t come from the target itself'};
	}

	return dialect.allowsResponseWithoutLength || hasKnownEnd(options.method, status, readHeader)
		? {kind: 'response', echoesRequestId}
		: {kind: 'unusable', reason: 'the response has neither a length nor a transfer encoding'};
}

function hasKnownEnd(method: string, status: number, readHeader: HeaderReader): boolean {
	return readHeader('content-length') !== undefined || readHeader('transfer-encoding') !== undefined || isBodylessResponse(method, status);
}
