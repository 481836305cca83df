/** `POST /v1/configuration?if-version=N&author=…`: applies a manifest as one change. */
import {registerAdminAction} from './admin-actions.js';
import {reportChange} from './change-report.js';
import {commitConfiguration} from './configuration-change.js';
import {formatManifestIssue, parseManifest} from './manifest.js';

registerAdminAction({
	name: 'apply',
	method: 'POST',
	path: '/v1/configuration',
	async run(context, state, request) {
		const manifest = parseManifest(request.body);
		if (!manifest.ok) {
			return {status: 422, body: {result: 'refused', issues: manifest.error.map(issue => formatManifestIssue(issue))}};
		}

		const ifVersion = request.query.get('if-version');
		const expected = ifVersion === null ? state.record?.version ?? 0 : Number(ifVersion);
		const author = request.query.get('author') ?? undefined;
		const outcome = await commitConfiguration(context, expected, manifest.value, {...(author !== undefined && {author})});
		context.logger.info('apply', {outcome: outcome.kind, author, version: 'version' in outcome ? outcome.version : undefined});
		return reportChange(context, state, outcome);
	},
});
