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

export type ResponseHeadFields = {
	readonly status: number;
	readonly readHeader: HeaderReader;
	/** All transfer codings, those of repeated headers too; undefined without any such header. */
	readonly transferEncoding: string | undefined;
};

/** Classifies the head of a response; calls `onLeaving` and `onStatement` with what the target says of itself. */
export function classifyHead(options: ForwardOptions, dialect: TargetDialect, {status, readHeader, transferEncoding}: ResponseHeadFields): HeadClass {
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

	const framingFault = isBodylessResponse(options.method, status) ? undefined : findFramingFault(dialect, readHeader('content-length'), transferEncoding);
	return framingFault === undefined ? {kind: 'response', echoesRequestId} : {kind: 'unusable', reason: framingFault};
}

/** Returns why the end or the content of the body can't be told; undefined if they can. */
function findFramingFault(dialect: TargetDialect, contentLength: string | undefined, transferEncoding: string | undefined): string | undefined {
	const coding = transferEncoding?.trim().toLowerCase();
	// Old servers say `identity` for no coding (RFC 2616, section 3.6); the body then ends with its connection.
	if (coding === undefined || coding === 'identity') {
		return contentLength !== undefined || dialect.allowsResponseWithoutLength ? undefined : 'the response has neither a length nor a transfer encoding';
	}

	// Requests are sent without a `TE` header, which permits no other coding. A body in another one may end with its connection only, and the caller would get it still encoded.
	return coding === 'chunked' ? undefined : 'the response has a transfer encoding other than chunked';
}
