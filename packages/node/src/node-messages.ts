/** The messages that the tasks of one node publish to each other. */
import type {
	Member, Route, Target, VersionedConfiguration,
} from '@catkindale/policy';
import type {ListedMachine} from '@catkindale/platform';
import type {PeerMessage} from '@catkindale/protocol';
import type {AttemptResult} from './target-selector.js';
import type {VersionShare} from './version-chooser.js';

export type NodeMessage
	/** A configuration of a higher version is in force on this node. */
	= | ({readonly type: 'configuration-changed'} & VersionedConfiguration)
	/** The members of the whole fleet as the table's rows show them. */
		| {readonly type: 'membership-changed'; readonly members: readonly Member[]}
	/** The table was read by this node just now. */
		| {readonly type: 'table-read'}
	/** An operator's change was committed and should be read at once. */
		| {readonly type: 'configuration-committed'; readonly version: number}
	/** To one member; lost when there is no link to it. */
		| {readonly type: 'peer-send'; readonly to: string; readonly message: PeerMessage}
	/** To every member that can be reached. */
		| {readonly type: 'peer-broadcast'; readonly message: PeerMessage}
		| {readonly type: 'peer-received'; readonly from: string; readonly message: PeerMessage}
		| {readonly type: 'peer-connected'; readonly id: string}
		| {readonly type: 'peer-disconnected'; readonly id: string}
	/** What the platform's list of VMs said just now; it lags behind the truth. */
		| {readonly type: 'machines-listed'; readonly machines: readonly ListedMachine[]}
	/** The share of a service's requests for a new version has changed. */
		| {readonly type: 'version-share-changed'; readonly share: VersionShare}
	/** An operator wants a rollout halted at once. */
		| {readonly type: 'rollout-halt-requested'; readonly rollout: string; readonly reason: string}
	/** One attempt at a target has ended. */
		| {readonly type: 'attempt-finished'; readonly route: Route; readonly target: Target; readonly result: AttemptResult}
	/** The node takes no new work from now on. */
		| {readonly type: 'drain-started'};
