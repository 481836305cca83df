/** The headers of a request as a gateway sends it to a target. */
import {hopByHopHeaders, copyHeaders, getConnectionHeaderNames} from './request-headers.js';
import type {CallerProfile} from './caller-profile.js';
import type {GatewayExchange} from './gateway-exchange.js';

type IdentifiedRequest = Pick<GatewayExchange, 'request' | 'requestId' | 'customer'>;

export type TargetHeaderValues = {
	/** The identifier of the target that the request is meant for. */
	readonly target: string;
	readonly deadlineMilliseconds: number;
};

/** The caller's headers without those of its connection and its key, and with the gateway's own. */
export function getGatewayHeaders({headers: names}: CallerProfile, {request, requestId, customer}: IdentifiedRequest, addressing: TargetHeaderValues): string[] {
	const dropped = getConnectionHeaderNames(request.headers.connection);
	const own = new Set([names.requestId, names.deadline, names.customer, names.expectedTarget, 'authorization']);
	const headers = copyHeaders(request.rawHeaders, name => dropped.has(name) || hopByHopHeaders.has(name) || own.has(name));
	headers.push(names.requestId, requestId, names.deadline, String(Math.max(1, Math.floor(addressing.deadlineMilliseconds))), names.expectedTarget, addressing.target);
	if (customer) {
		headers.push(names.customer, customer.name);
	}

	return headers;
}
