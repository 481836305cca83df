/** Names and limits of the node's external interfaces. */

export const roles = ['entry', 'directory', 'control', 'admin'] as const;

/** Routes requests by a traffic configuration and registered targets, without the ledger. It isn't combined with other roles. */
export const gatewayRole = 'gateway';

export const headerNames = {
	customer: 'catkindale-customer',
	deadline: 'catkindale-deadline',
	draining: 'catkindale-draining',
	outcome: 'catkindale-outcome',
	replayed: 'catkindale-replayed',
	requestId: 'catkindale-request-id',
} as const;

export const reservedHeaderPrefix = 'catkindale-';

export const rowKeys = {
	configuration: 'configuration',
	membershipPrefix: 'membership/',
	ledger: 'membership/fleet',
	rolloutPrefix: 'rollout/',
	shiftPrefix: 'shift/',
	gatewayPrefix: 'gateway/',
} as const;

/** The longest time for which a caller may cache the response to a lookup. */
export const maximumLookupAgeMilliseconds = 30_000;
