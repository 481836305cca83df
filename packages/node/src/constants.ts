/** Names and limits of the node's interfaces. */

export const roles = ['entry', 'directory', 'control', 'admin'] as const;

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
} as const;

/** The longest time for which a caller may keep the answer of a look-up. */
export const longestLookupMilliseconds = 30_000;
