/** `POST /v1/configuration?if-version=N`: applies a manifest as one change. */
import {parse} from 'smol-toml';
import {type Configuration, parseConfiguration} from '@catkindale/policy';
import {
	type Result, fail, getErrorMessage, succeed,
} from '@catkindale/common';
import {type AdminAnswer, registerAdminAction} from './admin-actions.js';
import {type ChangeOutcome, commitConfiguration} from './configuration-change.js';

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
		const expected = ifVersion === null ? state.configuration?.version ?? 0 : Number(ifVersion);
		const outcome = await commitConfiguration(context, expected, manifest.value);
		if (outcome.kind === 'committed') {
			context.bus.publish({type: 'configuration-committed', version: outcome.version});
		}

		context.logger.info('apply', {outcome: outcome.kind, version: 'version' in outcome ? outcome.version : undefined});
		return describeOutcome(outcome);
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

function describeOutcome(outcome: ChangeOutcome): AdminAnswer {
	switch (outcome.kind) {
		case 'committed': {
			return {status: 200, body: {result: 'accepted', version: outcome.version}};
		}

		case 'conflict': {
			return {status: 409, body: {result: 'conflict', version: outcome.version, detail: `the configuration is at version ${outcome.version}`}};
		}

		case 'not-done': {
			return {status: 503, body: {result: 'refused', detail: `nothing was changed: ${outcome.reason}`}};
		}

		case 'unknown': {
			return {status: 504, body: {result: 'unknown', detail: `${outcome.reason}; run "catkindale status" before applying again`}};
		}
	}
}
