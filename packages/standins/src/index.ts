/** Stand-ins for the platform's services and for targets, for development and tests. */
export * from './machine-list-standin.js';
export * from './object-store-standin.js';
export {
	type Standin, listen, readJson, sendJson,
} from './standin.js';
export * from './table-standin.js';
export * from './target-standin.js';
