/** Validates a configuration: first its shape, then its references and the uniqueness of names. */
import {
	type Result, fail, parseAddress, succeed,
} from '@catkindale/common';
import {type Configuration, configurationSchema} from './configuration.js';

/** An error and the path to its place, for example `targets.3.region` in segments. */
export type ConfigurationIssue = {
	readonly path: ReadonlyArray<string | number>;
	readonly reason: string;
};

type Report = (path: ReadonlyArray<string | number>, reason: string) => void;

/** Parses untrusted data; all issues are reported together. */
export function parseConfiguration(data: unknown): Result<Configuration, readonly ConfigurationIssue[]> {
	const parsed = configurationSchema.safeParse(data);
	if (!parsed.success) {
		return fail(parsed.error.issues.map(issue => ({
			path: issue.path.map(segment => typeof segment === 'number' ? segment : String(segment)),
			reason: issue.message,
		})));
	}

	const issues = getReferenceIssues(parsed.data);
	return issues.length > 0 ? fail(issues) : succeed(parsed.data);
}

function getReferenceIssues(configuration: Configuration): ConfigurationIssue[] {
	const issues: ConfigurationIssue[] = [];
	const report: Report = (path, reason) => {
		issues.push({path, reason});
	};

	checkUniqueNames(configuration, report);
	checkKeysAndRoutes(configuration, report);
	checkTargets(configuration, report);
	checkRolloutsAndShifts(configuration, report);
	checkRegionReferences(configuration, report);
	return issues;
}

function checkUniqueNames(configuration: Configuration, report: Report): void {
	for (const list of ['regions', 'customers', 'services', 'targets', 'rollouts', 'shifts'] as const) {
		const seen = new Set<string>();
		for (const [index, {name}] of configuration[list].entries()) {
			if (seen.has(name)) {
				report([list, index, 'name'], `"${name}" is declared twice`);
			}

			seen.add(name);
		}
	}
}

function checkKeysAndRoutes(configuration: Configuration, report: Report): void {
	const customers = getNames(configuration.customers);
	const services = getNames(configuration.services);
	const hashes = new Set<string>();
	for (const [index, key] of configuration.keys.entries()) {
		expectDeclared(customers, key.customer, ['keys', index, 'customer'], report);
		if (hashes.has(key.hash)) {
			report(['keys', index, 'hash'], 'the same key is declared twice');
		}

		hashes.add(key.hash);
	}

	const patterns = new Set<string>();
	for (const [index, route] of configuration.routes.entries()) {
		expectDeclared(services, route.service, ['routes', index, 'service'], report);
		const pattern = `${route.method} ${route.path}`;
		if (patterns.has(pattern)) {
			report(['routes', index, 'path'], `"${pattern}" is declared twice`);
		}

		patterns.add(pattern);
	}
}

function checkTargets(configuration: Configuration, report: Report): void {
	const services = getNames(configuration.services);
	const zonesOfRegion = new Map(configuration.regions.map(region => [region.name, new Set(region.zones)]));
	for (const [index, target] of configuration.targets.entries()) {
		expectDeclared(services, target.service, ['targets', index, 'service'], report);
		if (!zonesOfRegion.get(target.region)?.has(target.zone)) {
			report(['targets', index, 'zone'], `there is no zone "${target.zone}" in a region "${target.region}"`);
		}

		const address = parseAddress(target.address);
		if (!address.ok) {
			report(['targets', index, 'address'], address.error);
		}
	}
}

function checkRolloutsAndShifts(configuration: Configuration, report: Report): void {
	const services = getNames(configuration.services);
	const servicesInRollout = new Set<string>();
	for (const [index, rollout] of configuration.rollouts.entries()) {
		expectDeclared(services, rollout.service, ['rollouts', index, 'service'], report);
		if (servicesInRollout.has(rollout.service)) {
			report(['rollouts', index, 'service'], `service "${rollout.service}" has another rollout already`);
		}

		servicesInRollout.add(rollout.service);
		const hasTarget = configuration.targets.some(target => target.service === rollout.service && target.version === rollout.to);
		if (!hasTarget) {
			report(['rollouts', index, 'to'], `service "${rollout.service}" has no target of version "${rollout.to}"`);
		}
	}

	for (const [index, shift] of configuration.shifts.entries()) {
		expectDeclared(services, shift.service, ['shifts', index, 'service'], report);
	}
}

function checkRegionReferences(configuration: Configuration, report: Report): void {
	const regions = getNames(configuration.regions);
	for (const list of ['links', 'shifts'] as const) {
		for (const [index, item] of configuration[list].entries()) {
			expectDeclared(regions, item.from, [list, index, 'from'], report);
			expectDeclared(regions, item.to, [list, index, 'to'], report);
		}
	}

	const pairs = new Set<string>();
	for (const [index, {from, to}] of configuration.links.entries()) {
		const pair = `${from} to ${to}`;
		if (from === to) {
			report(['links', index, 'to'], 'a link must join two different regions');
		}

		if (pairs.has(pair)) {
			report(['links', index, 'to'], `the link from "${from}" to "${to}" is declared twice`);
		}

		pairs.add(pair);
	}

	for (const [index, block] of configuration.clientBlocks.entries()) {
		expectDeclared(regions, block.region, ['clientBlocks', index, 'region'], report);
	}
}

function getNames(items: ReadonlyArray<{readonly name: string}>): Set<string> {
	return new Set(items.map(item => item.name));
}

function expectDeclared(declared: ReadonlySet<string>, name: string, path: ReadonlyArray<string | number>, report: Report): void {
	if (!declared.has(name)) {
		report(path, `"${name}" isn't declared; declared are: ${[...declared].join(', ') || 'none'}`);
	}
}
