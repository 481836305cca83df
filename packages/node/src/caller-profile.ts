/**
 * How callers of a deployment speak to the gateway: the headers of their
 * requests, those that targets get, and the form of look-ups. An adapter
 * brings the profile of its platform; everything else knows only these types.
 */
import type {IncomingMessage} from 'node:http';
import {millisecondsPerSecond} from '@catkindale/common';
import {bearerPrefix} from './request-headers.js';
import {headerNames} from './constants.js';
import {type TargetDialect, defaultDialect} from './target-dialect.js';

export type LookupRequest = {
	readonly region: string | undefined;
	readonly zone: string | undefined;
};

export type LookupResponse = {
	/** Addresses of gateways that callers of the zone should use. */
	readonly addresses: readonly string[];
	readonly timeToLiveMilliseconds: number;
};

export type CallerProfile = {
	readonly dialect: TargetDialect;
	/** Names of headers, in lower case. */
	readonly headers: {
		/** Ties an answer to its request; each attempt of a caller has its own. */
		readonly requestId: string;
		/** Milliseconds that the caller, and then the target, has left. */
		readonly deadline: string;
		/** Names the object that the request concerns. */
		readonly object: string;
		/** Tells the target the customer that holds the caller's key. */
		readonly customer: string;
		/** Names the target that the request is meant for. */
		readonly expectedTarget: string;
	};
	readonly hasFractionalRetryAfter: boolean;
	readonly lookup: {
		readonly path: string;
		readonly parseRequest: (query: URLSearchParams) => LookupRequest;
		readonly createResponse: (answer: LookupResponse) => unknown;
	};
	/** The key that came with a request. */
	readonly getKey: (request: IncomingMessage) => string | undefined;
};

/** The profile of deployments without an adapter. */
export const defaultCallerProfile: CallerProfile = {
	dialect: defaultDialect,
	headers: {
		requestId: headerNames.requestId,
		deadline: headerNames.deadline,
		object: 'catkindale-object',
		customer: headerNames.customer,
		expectedTarget: 'catkindale-expected-target',
	},
	hasFractionalRetryAfter: false,
	lookup: {
		path: '/v1/gateways',
		parseRequest: query => ({region: query.get('region') ?? undefined, zone: query.get('zone') ?? undefined}),
		createResponse: ({addresses, timeToLiveMilliseconds}) => ({addresses, timeToLiveSeconds: timeToLiveMilliseconds / millisecondsPerSecond}),
	},
	getKey: request => getBearerKey(request),
};

/** The key of an `Authorization: Bearer` header. */
export function getBearerKey({headers: {authorization}}: IncomingMessage): string | undefined {
	return authorization !== undefined && bearerPrefix.test(authorization) ? authorization.replace(bearerPrefix, '').trim() : undefined;
}
