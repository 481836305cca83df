/** Plug-in registry, tasks, message bus and life cycle. */
export * from './life-cycle.js';
export * from './message-bus.js';
export * from './plugin-registry.js';
