/** Names and limits of the node's interfaces. */

export const roles = ['entry', 'directory', 'control', 'admin'] as const;

/** Steers requests by a traffic configuration and registered targets, without the ledger; it runs alone. */
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

/** The longest time for which a caller may keep the answer of a look-up. */
export const maximumLookupAgeMilliseconds = 30_000;
