/** A slot quota whose slots a test can change, and requests for the target selector. */
import {Registry} from 'prom-client';
import {createRandom, systemClock} from '@catkindale/common';
import type {Target} from '@catkindale/policy';
import {type SelectionRequest, type TargetSelector, createTargetSelector} from '../src/target-selector.js';

export type TestQuota = {
	readonly held: Map<string, number>;
	readonly inUse: Map<string, number>;
	/** Targets at which the selector tried to take a slot. */
	readonly attemptedTargets: Set<string>;
	readonly getHeld: (target: string) => number;
	readonly getLent: (target: string) => number;
	readonly take: (target: string) => boolean;
	readonly release: (target: string) => void;
};

export function createTestQuota(held: Record<string, number>): TestQuota {
	const quota: TestQuota = {
		held: new Map(Object.entries(held)),
		inUse: new Map(),
		attemptedTargets: new Set(),
		getHeld: target => quota.held.get(target) ?? 0,
		getLent: () => 0,
		take(target) {
			quota.attemptedTargets.add(target);
			const inUse = quota.inUse.get(target) ?? 0;
			if (inUse >= quota.getHeld(target)) {
				return false;
			}

			quota.inUse.set(target, inUse + 1);
			return true;
		},
		release(target) {
			quota.inUse.set(target, (quota.inUse.get(target) ?? 0) - 1);
		},
	};
	return quota;
}

export function createTarget(name: string, change: Partial<Target> = {}): Target {
	return {
		name, service: 'pricing', version: '1', region: 'oslo', zone: 'oslo-a', address: '127.0.0.1:1', slots: 4, ...change,
	};
}

export type TestSelector = {readonly selector: TargetSelector; readonly quota: TestQuota; readonly registry: Registry; readonly candidates: readonly Target[]};

export function createTestSelector(held: Record<string, number>): TestSelector {
	const quota = createTestQuota(held);
	const registry = new Registry();
	const candidates = Object.keys(held).map(name => createTarget(name));
	const selector = createTargetSelector({
		quota, registry, region: 'oslo', clock: systemClock, random: createRandom(1),
	});
	return {
		selector, quota, registry, candidates,
	};
}

export function createSelectionRequest(candidates: readonly Target[], change: Partial<SelectionRequest> = {}): SelectionRequest {
	return {
		service: 'pricing', customer: 'wideroe', class: 'interactive', deadlineAt: systemClock.monotonic() + 2000, candidates, excluded: new Set(), signal: new AbortController().signal, ...change,
	};
}
