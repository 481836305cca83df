/**
 * The HTTP interface between callers, gateway and targets of a deployment: the
 * headers of requests to the gateway and to targets, and the format of lookups.
 * A platform adapter supplies its own profile; the rest of the code depends
 * only on these types.
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
	/** Header names in lower case. */
	readonly headers: {
		/** Matches a response to its request; each attempt of a caller has its own value. */
		readonly requestId: string;
		/** Remaining time in milliseconds, sent by the caller and updated for the target. */
		readonly deadline: string;
		/** The object that the request concerns. */
		readonly object: string;
		/** The customer that the caller's key belongs to, sent to the target. */
		readonly customer: string;
		/** The target that the request is meant for. */
		readonly expectedTarget: string;
	};
	readonly hasFractionalRetryAfter: boolean;
	readonly lookup: {
		readonly path: string;
		readonly parseRequest: (query: URLSearchParams) => LookupRequest;
		readonly createResponse: (response: LookupResponse) => unknown;
	};
	/** Reads the key from a request. */
	readonly getKey: (request: IncomingMessage) => string | undefined;
};

/** The profile of deployments without a platform adapter. */
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

/** Reads the key from an `Authorization: Bearer` header. */
export function getBearerKey({headers: {authorization}}: IncomingMessage): string | undefined {
	return authorization !== undefined && bearerPrefix.test(authorization) ? authorization.replace(bearerPrefix, '').trim() : undefined;
}
