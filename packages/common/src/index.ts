/** Addresses, clocks, results, errors, identifiers, random numbers, hashing and logs. */
export * from './address.js';
export * from './clock.js';
export * from './constants.js';
export * from './error-details.js';
export * from './http-status.js';
export * from './identifiers.js';
export * from './invariant.js';
export * from './log.js';
export * from './outcome.js';
export * from './random.js';
export * from './rendezvous.js';
export * from './record-key.js';
