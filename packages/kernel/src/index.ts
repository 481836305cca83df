/** Plug-in registry, tasks, message bus and process life cycle. */
export * from './life-cycle.js';
export * from './message-bus.js';
export * from './plugin-registry.js';
