/**
 * The headers with which the nodes and targets of a deployment exchange
 * information about a request. The product's own dialect is the default; a
 * platform adapter supplies that of its platform.
 */
import {headerNames} from './constants.js';

/** Reads a header of a response by its name in lower case. */
export type HeaderReader = (name: string) => string | undefined;

export type ReportedLoad = {readonly running: number; readonly waiting: number; readonly slots: number};

/** What a target says of itself in a response. */
export type TargetStatement = {
	/** Undefined if the response doesn't contain it. */
	readonly load: ReportedLoad | undefined;
	readonly limit: ReportedLimit;
	/** Time for which the target takes no request from this node; undefined if the response names none. */
	readonly pauseMilliseconds: number | undefined;
};

/** The requests per second that a target takes from all nodes together. */
export type ReportedLimit
	= | {readonly kind: 'limited'; readonly requestsPerSecond: number}
		| {readonly kind: 'unlimited'}
		/** The response says nothing about it, or nothing that can be read. */
		| {readonly kind: 'unknown'};

export type TargetDialect = {
	/** The header that matches a response to its request. */
	readonly requestIdHeader: string;
	/** Whether the response states that the target didn't run the request. */
	readonly isRefusal: (status: number, read: HeaderReader) => boolean;
	/** Whether the response comes from another target, which has the address now. */
	readonly isFromOtherTarget: (status: number, read: HeaderReader) => boolean;
	/** Whether a refusal is valid without the identifier of its request, if it is the first response on its connection. */
	readonly acceptsRefusalWithoutRequestId: boolean;
	readonly isLeaving: (read: HeaderReader) => boolean;
	/** Whether the head can come from the target itself. */
	readonly isFromTarget: (status: number, read: HeaderReader) => boolean;
	/** Whether a response may be delimited by the close of its connection. */
	readonly allowsResponseWithoutLength: boolean;
	readonly getStatement: (status: number, read: HeaderReader) => TargetStatement;
	/** Headers that a node adds to each response that it forwards. */
	readonly getAddedHeaders: (requestId: string, outcome: string) => readonly string[];
};

export const defaultDialect: TargetDialect = {
	requestIdHeader: headerNames.requestId,
	isRefusal: (_status, read) => read(headerNames.outcome) === 'not-run',
	isFromOtherTarget: () => false,
	acceptsRefusalWithoutRequestId: false,
	isLeaving: read => read(headerNames.draining) === 'true',
	isFromTarget: () => true,
	allowsResponseWithoutLength: false,
	getStatement: () => ({load: undefined, limit: {kind: 'unknown'}, pauseMilliseconds: undefined}),
	getAddedHeaders: (requestId, outcome) => [headerNames.outcome, outcome, headerNames.requestId, requestId],
};
