/** The pure decisions: no input or output, no timers, time passed in. */
export * from './client-address.js';
export {findIpv4Assignment} from './client-block-ranges.js';
export * from './client-block-snapshot.js';
export * from './client-block-table.js';
export * from './configuration.js';
export * from './configuration-check.js';
export * from './evidence.js';
export * from './evidence-test.js';
export * from './member.js';
export * from './rollout-decision.js';
export * from './rollout-follower.js';
export * from './rollout-plan.js';
export * from './rollout-report.js';
export * from './rollout-row.js';
export * from './shift.js';
export * from './slot-floors.js';
export * from './token-bucket.js';
