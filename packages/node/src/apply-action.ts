/** `POST /v1/configuration?if-version=N&author=…`: applies a manifest as one change. */
import {parse} from 'smol-toml';
import {type Configuration, parseConfiguration} from '@catkindale/policy';
import {
	type Result, fail, getErrorMessage, succeed,
} from '@catkindale/common';
import {registerAdminAction} from './admin-actions.js';
import {reportChange} from './change-report.js';
import {commitConfiguration} from './configuration-change.js';

registerAdminAction({
	name: 'apply',
	method: 'POST',
	path: '/v1/configuration',
	async run(context, state, request) {
		const manifest = parseManifest(request.body);
		if (!manifest.ok) {
			return {status: 422, body: {result: 'refused', issues: manifest.error}};
		}

		const ifVersion = request.query.get('if-version');
		const expected = ifVersion === null ? state.record?.version ?? 0 : Number(ifVersion);
		const author = request.query.get('author') ?? undefined;
		const outcome = await commitConfiguration(context, expected, manifest.value, {...(author !== undefined && {author})});
		context.logger.info('apply', {outcome: outcome.kind, author, version: 'version' in outcome ? outcome.version : undefined});
		return reportChange(context, state, outcome);
	},
});

/** Parses a manifest in TOML and checks it as a whole. */
export function parseManifest(text: string): Result<Configuration, readonly string[]> {
	let data: unknown;
	try {
		data = parse(text);
	} catch (error) {
		return fail([getErrorMessage(error)]);
	}

	const parsed = parseConfiguration(data);
	return parsed.ok ? succeed(parsed.value) : fail(parsed.error.map(issue => `${issue.path.join('.')}: ${issue.reason}`));
}
