/** The plug-ins that make up an entry VM, and the way to start one. */
export {parseManifest} from './apply-action.js';
export * from './constants.js';
export * from './errors.js';
export * from './settings.js';
export * from './start-node.js';
export {createMembership} from './membership.js';
export {type NodeQuotas, createNodeQuotas} from './node-quotas.js';
export type {NodeMessage} from './node-messages.js';
