/** `GET /v1/status`: configuration versions, regions, members and restrictions from this node's view. */
import {registerAdminAction} from './admin-actions.js';
import {getRegionPropagation} from './admin-state.js';

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
			isServing: !state.unavailableMembers.has(id),
			configurationVersion: id === ownName ? state.configuration?.version ?? 0 : state.peerVersions.get(id),
		}));
		const version = state.latestRecord?.version ?? 0;
		const regions = getRegionPropagation(state, ownName, version).map(({region, isConfirmedByAll: isConfirmed, missing}) => ({region, state: isConfirmed ? 'in force' : 'not in force', missing}));
		return {
			status: 200, body: {
				node: ownName,
				configurationVersion: state.configuration?.version ?? 0,
				knownVersion: version,
				regions,
				members,
				changes: state.latestRecord?.history ?? [],
				restrictions: state.restrictions,
			},
		};
	},
});
