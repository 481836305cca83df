/** Builds the headers of a request that a gateway sends to a target. */
import {
	hopByHopHeaders, copyHeaders, encodeHeaderText, getConnectionHeaderNames,
} from './request-headers.js';
import type {CallerProfile} from './caller-profile.js';
import type {GatewayExchange} from './gateway-exchange.js';

type IdentifiedRequest = Pick<GatewayExchange, 'request' | 'requestId' | 'customer'>;

export type TargetHeaderValues = {
	/** The identifier of the target that the request is meant for. */
	readonly target: string;
	readonly deadlineMilliseconds: number;
};

/** Copies the caller's headers without hop-by-hop headers and the key, and adds the gateway's own. */
export function getGatewayHeaders({headers: names}: CallerProfile, {request, requestId, customer}: IdentifiedRequest, targetValues: TargetHeaderValues): string[] {
	const connectionHeaders = getConnectionHeaderNames(request.headers.connection);
	const ownHeaders = new Set([names.requestId, names.deadline, names.customer, names.expectedTarget, 'authorization']);
	const headers = copyHeaders(request.rawHeaders, name => connectionHeaders.has(name) || hopByHopHeaders.has(name) || ownHeaders.has(name));
	headers.push(names.requestId, requestId, names.deadline, String(Math.max(1, Math.floor(targetValues.deadlineMilliseconds))), names.expectedTarget, targetValues.target);
	if (customer) {
		headers.push(names.customer, encodeHeaderText(customer.name));
	}

	return headers;
}
