/** The pure decisions: no input or output, no timers, time passed in. */
export * from './attempt.js';
export * from './configuration.js';
export * from './configuration-check.js';
export * from './customer-flows.js';
export * from './fair-queue.js';
export * from './member.js';
export * from './priority-queue.js';
export * from './slot-floors.js';
export * from './target-admission.js';
export * from './target-choice.js';
export * from './target-health.js';
export * from './token-bucket.js';
