/** Frames and messages exchanged between nodes. */
export * from './compact-messages.js';
export * from './configuration-messages.js';
export * from './frame.js';
export * from './gateway-messages.js';
export * from './link-messages.js';
export * from './membership-proof.js';
export * from './messages.js';
export * from './rollout-messages.js';
export * from './quota-messages.js';
export * from './ticket-messages.js';
export * from './version-trial-messages.js';
