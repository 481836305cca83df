/** The plug-ins of a node and the function that starts a node. */
export * from './client-block-object.js';
export * from './manifest.js';
export * from './constants.js';
export * from './errors.js';
export * from './settings.js';
export * from './settings-reload.js';
export * from './start-node.js';
export {type StopSignalOptions, waitForStopSignal} from './stop-signals.js';
export * from './retry-budgets.js';
export * from './rollout-task.js';
export type {AttemptResult} from './target-selector.js';
export * from './version-chooser.js';
export {createMembership} from './membership.js';
export {type NodeQuotas, createNodeQuotas, getNodeQuotas} from './node-quotas.js';
export type {NodeMessage} from './node-messages.js';
export {createRoutingTable} from './routing-table.js';
export {createIdempotencyClaims} from './idempotency-claims.js';
export {
	type IdempotencyGuard, type AtMostOnceRequest, createIdempotencyGuard, createTicketClock,
} from './idempotency-guard.js';
export {type ExchangeResult, createProblemResult} from './exchange-result.js';
export {type HandoverChunk, createTicketSuccessors} from './ticket-successors.js';
export {createTicketPrefix, parseIdempotencyKey} from './ticket-prefix.js';
export {
	type LineSink, type OutputSink, createRateLimitedLogger, createStandardOutputSink,
} from './rate-limited-log.js';
export {
	type CallerProfile, type LookupResponse, type LookupRequest, getBearerKey, defaultCallerProfile,
} from './caller-profile.js';
export type {TrafficSource} from './node-context.js';
export {type OnUnreadable, createUnreadableReports} from './unreadable-reports.js';
export type {
	HeaderReader, ReportedLimit, ReportedLoad, TargetDialect, TargetStatement,
} from './target-dialect.js';
export type {
	TrialStoreOutcome, StoredTrialRecord, TrialRecord, TrialRecordStore,
} from './trial-record-store.js';
