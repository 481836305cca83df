/** What the admin task knows of the node for its answers. */
import type {Member, VersionedConfiguration} from '@catkindale/policy';

export type AdminState = {
	configuration: VersionedConfiguration | undefined;
	members: readonly Member[];
	/** The configuration version that each peer last reported. */
	readonly peerVersions: Map<string, number>;
};
