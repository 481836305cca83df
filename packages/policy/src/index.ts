/** The pure decisions: no input or output, no timers, time passed in. */
export * from './configuration.js';
export * from './configuration-check.js';
export * from './configuration-record.js';
export * from './freshness.js';
export * from './member.js';
export * from './quorum.js';
export * from './restriction.js';
export * from './slot-floors.js';
export * from './token-bucket.js';
