/** `GET /v1/configuration`: the effective configuration of this node and its version. */
import {registerAdminAction} from './admin-actions.js';

registerAdminAction({
	name: 'configuration',
	method: 'GET',
	path: '/v1/configuration',
	async run(_context, state) {
		return {status: 200, body: {version: state.configuration?.version ?? 0, configuration: state.configuration?.configuration}};
	},
});
