/** `GET /v1/status`: versions in force and members, as this node sees them. */
import {registerAdminAction} from './admin-actions.js';

registerAdminAction({
	name: 'status',
	method: 'GET',
	path: '/v1/status',
	async run(context, state) {
		const ownName = context.settings.node.name;
		const members = state.members.map(({id, region, zone, state: memberState}) => ({
			id,
			region,
			zone,
			state: memberState,
			configurationVersion: id === ownName ? state.configuration?.version ?? 0 : state.peerVersions.get(id),
		}));
		return {status: 200, body: {node: ownName, configurationVersion: state.configuration?.version ?? 0, members}};
	},
});
