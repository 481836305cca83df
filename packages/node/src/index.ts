/** The plug-ins that make up an entry VM, and the way to start one. */
export * from './manifest.js';
export * from './constants.js';
export * from './errors.js';
export * from './settings.js';
export * from './start-node.js';
export {createMembership} from './membership.js';
export {createNodeQuotas} from './node-quotas.js';
