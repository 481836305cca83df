/**
 * The names of the headers in which callers, nodes and targets of a
 * deployment tell each other about a request. The product's own names are the
 * default; an adapter brings those of its platform.
 */
import {headerNames} from './constants.js';

/** Reads a header of an answer by its name in lower case. */
export type HeaderReader = (name: string) => string | undefined;

export type ReportedLoad = {readonly running: number; readonly waiting: number; readonly slots: number};

export type TargetDialect = {
	/** The header that ties an answer to its request. */
	readonly requestIdHeader: string;
	/** Whether the answer says that the target didn't run the request. */
	readonly isRefusal: (status: number, read: HeaderReader) => boolean;
	/** Whether the answer comes from a target at this address that isn't the one meant. */
	readonly isFromOtherTarget: (status: number, read: HeaderReader) => boolean;
	/** Whether a refusal counts though it doesn't name its request. */
	readonly acceptsRefusalWithoutRequestId: boolean;
	readonly isLeaving: (read: HeaderReader) => boolean;
	/** Whether the head can be that of a target's own answer. */
	readonly isFromTarget: (status: number, read: HeaderReader) => boolean;
	/** Whether an answer may end with its connection. */
	readonly allowsResponseWithoutLength: boolean;
	readonly getLoad: (read: HeaderReader) => ReportedLoad | undefined;
	/** Headers that a node adds to each answer that it passes on. */
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
	getLoad: () => undefined,
	getAddedHeaders: (requestId, outcome) => [headerNames.outcome, outcome, headerNames.requestId, requestId],
};
