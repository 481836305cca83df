/** The pure decisions: no input or output, no timers, time passed in. */
export * from './configuration.js';
export * from './configuration-check.js';
export * from './customer-floors.js';
export * from './ledger.js';
export * from './ledger-view.js';
export * from './member.js';
export * from './name-rank.js';
export * from './pause-guard.js';
export * from './slot-floors.js';
export * from './token-bucket.js';
export * from './customer-quota.js';
export * from './slot-holding.js';
export * from './token-transfer.js';
