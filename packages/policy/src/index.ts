/** The pure decisions: no input or output, no timers, time passed in. */
export * from './configuration.js';
export * from './configuration-check.js';
export * from './member.js';
export * from './retry-budget.js';
export * from './slot-floors.js';
export * from './token-bucket.js';
