/** Collects the evidence of a rollout: how attempts at the old and the new version of a service end. */
import {
	type EvidenceCounts, type RouteEvidence, type Route, type Target, createEvidenceCounts, getLatencyBucket,
} from '@catkindale/policy';
import type {AttemptResult} from './target-selector.js';

const failedKinds: ReadonlySet<AttemptResult['kind']> = new Set(['failed', 'shed', 'not-sent', 'lost']);

export type EvidenceCollector = {
	/** @param now monotonic milliseconds */
	recordAttempt: (route: Route, target: Target, result: AttemptResult, now: number) => void;
	getEvidence: () => readonly RouteEvidence[];
};

export type EvidenceCollectorOptions = {
	readonly from: string;
	readonly to: string;
	/** How long an instance counts as cold after its first request. Latencies of cold instances aren't counted. */
	readonly coldMilliseconds: number;
};

export function createEvidenceCollector(options: EvidenceCollectorOptions): EvidenceCollector {
	const routes = new Map<string, RouteEvidence>();
	const firstUsedAt = new Map<string, number>();

	const isCold = (target: Target, now: number): boolean => {
		const first = firstUsedAt.get(target.name) ?? now;
		firstUsedAt.set(target.name, first);
		return now - first < options.coldMilliseconds;
	};

	return {
		recordAttempt(route, target, result, now) {
			if (target.version !== options.from && target.version !== options.to) {
				return;
			}

			const name = getRouteName(route);
			const evidence = routes.get(name) ?? {route: name, from: createEvidenceCounts(), to: createEvidenceCounts()};
			routes.set(name, evidence);
			const isNew = target.version === options.to;
			const isLatencyCounted = !isNew || !isCold(target, now);
			addResult(isNew ? evidence.to : evidence.from, result, isLatencyCounted);
		},
		getEvidence: () => structuredClone([...routes.values()]),
	};
}

/** Returns the name of a route in the evidence. */
export function getRouteName({method, path}: Pick<Route, 'method' | 'path'>): string {
	return `${method} ${path}`;
}

function addResult(counts: EvidenceCounts, result: AttemptResult, isLatencyCounted: boolean): void {
	counts.requests += 1;
	if (failedKinds.has(result.kind)) {
		counts.failures += 1;
		return;
	}

	// A caller that disconnected waited at least this long, so its latency counts too.
	const bucket = getLatencyBucket(result.milliseconds);
	counts.latencies[bucket] = (counts.latencies[bucket] ?? 0) + (isLatencyCounted ? 1 : 0);
}
