/**
 * `POST /v1/configuration?if-version=N&author=…`: applies a manifest as one
 * change. A manifest that would undo a completed rollout is refused unless
 * `allow-move-back=true` is given.
 */
import {type Configuration, type StaleVersion, findStaleVersions} from '@catkindale/policy';
import {type AdminResponse, registerAdminAction} from './admin-actions.js';
import type {AdminState} from './admin-state.js';
import {reportChange} from './change-report.js';
import {commitConfiguration} from './configuration-change.js';
import {rowKeys} from './constants.js';
import {formatManifestIssue, parseManifest} from './manifest.js';
import type {NodeContext} from './node-context.js';
import {parseRolloutRows} from './rollout-rows.js';

registerAdminAction({
	name: 'apply',
	method: 'POST',
	path: '/v1/configuration',
	async run(context, state, request) {
		const manifest = parseManifest(request.body);
		if (!manifest.ok) {
			return {status: 422, body: {result: 'refused', issues: manifest.error.map(issue => formatManifestIssue(issue))}};
		}

		const refusal = request.query.get('allow-move-back') === 'true' ? undefined : await checkMoveBack(context, state, manifest.value);
		if (refusal) {
			return refusal;
		}

		const ifVersion = request.query.get('if-version');
		const expected = ifVersion === null ? state.latestRecord?.version ?? 0 : Number(ifVersion);
		const author = request.query.get('author') ?? undefined;
		const outcome = await commitConfiguration(context, expected, manifest.value, {...(author !== undefined && {author})});
		context.logger.info('apply', {outcome: outcome.kind, author, version: 'version' in outcome ? outcome.version : undefined});
		return reportChange(context, state, outcome);
	},
});

/** Refuses a manifest that names the version from before a completed rollout. */
async function checkMoveBack(context: NodeContext, state: AdminState, next: Configuration): Promise<AdminResponse | undefined> {
	const current = state.latestRecord?.configuration;
	if (!current) {
		return undefined;
	}

	const outcome = await context.platform.table.list(rowKeys.rolloutPrefix);
	if (outcome.kind !== 'done') {
		return {status: 503, body: {result: 'refused', detail: 'the table can\'t be read; nothing was changed'}};
	}

	const stale = findStaleVersions(current, next, parseRolloutRows(outcome.value).rollouts);
	return stale.length > 0 ? {status: 409, body: {result: 'refused', issues: stale.map(version => describeStaleVersion(version))}} : undefined;
}

function describeStaleVersion({service, rollout, from, to}: StaleVersion): string {
	const problem = `service "${service}" serves version "${to}" since rollout "${rollout}" was done, the manifest would move all its traffic back to "${from}" at once`;
	const remedies = `set its version to "${to}" and remove the rollout, declare a rollout from "${to}" to "${from}", or allow the move back`;
	return `${problem}: ${remedies}`;
}
