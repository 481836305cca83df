/** Ports to the platform's services and their HTTP drivers. */
import './absent-services.js';
import './machine-list-http.js';
import './object-store-http.js';
import './table-http.js';
import './target-health-http.js';

export * from './driver-registry.js';
export * from './errors.js';
export {
	type CallHeaders, type CallOptions, type CallOutcome, type HttpCaller, createHttpCaller, maximumInterimResponses,
} from './http-caller.js';
export {createConnector} from './http-connector.js';
export type * from './machine-list-port.js';
export type * from './object-store-port.js';
export type * from './table-port.js';
export type * from './target-health-port.js';
