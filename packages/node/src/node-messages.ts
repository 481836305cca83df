/** The messages that the tasks of one node publish to each other. */
import type {
	ClientBlockTable, Member, Restriction, Route, ShiftRow, Target, TargetReport, TrafficConfiguration, VersionedConfiguration, VersionedRecord,
} from '@catkindale/policy';
import type {ListedMachine} from '@catkindale/ports';
import type {
	KnowledgeRevisions, PeerMessage, RegisteredTargets, TrafficOrders,
} from '@catkindale/protocol';
import type {FreshnessValidity} from './freshness-validity.js';
import type {AttemptResult} from './target-selector.js';
import type {VersionShare} from './version-chooser.js';

export type NodeMessage
	/** A configuration of a higher version is in force on this node. */
	= | ({readonly type: 'configuration-changed'} & VersionedConfiguration)
	/** The members of the whole fleet as the table's rows show them. */
		| {readonly type: 'membership-changed'; readonly members: readonly Member[]}
	/** The table was read by this node just now. */
		| {readonly type: 'table-read'}
	/** Whether this node is to read the table at the full pace from now on. */
		| {readonly type: 'table-reading-changed'; readonly isReader: boolean}
	/** An operator's change was committed and should be read at once. */
		| {readonly type: 'configuration-committed'; readonly version: number}
	/** A committed configuration, from the table, a peer or a change of this node. */
		| {readonly type: 'configuration-received'; readonly record: VersionedRecord; readonly source: string}
	/** The highest version that this node knows; it may not be in force here yet. */
		| {readonly type: 'configuration-known'; readonly record: VersionedRecord}
	/** The configuration's row was read; the read began at this monotonic time. */
		| {readonly type: 'configuration-read'; readonly startedAt: number}
	/** How long what this node knows may be taken as current. */
		| {readonly type: 'freshness-changed'; readonly validity: FreshnessValidity}
	/** Members that look-ups leave out: silent, draining or doubtful ones. */
		| {readonly type: 'unavailable-members-changed'; readonly ids: ReadonlySet<string>}
	/** The members as a peer knows them, while the table can't be read. */
		| {readonly type: 'members-received'; readonly members: readonly Member[]}
	/** An operator's restriction, to be in force at once on all nodes. */
		| {readonly type: 'restriction-issued'; readonly restriction: Restriction}
	/** The restrictions that no configuration contains yet. */
		| {readonly type: 'restrictions-changed'; readonly restrictions: readonly Restriction[]}
	/** A target's own answer says that it is leaving. */
		| {readonly type: 'target-leaving-reported'; readonly target: string}
	/** The targets that leave by the platform's list or by their own word. */
		| {readonly type: 'leaving-targets-changed'; readonly targets: ReadonlySet<string>}
	/** What a target says of its own health, read by this node or by a peer. */
		| {readonly type: 'target-reported'; readonly target: Target; readonly report: TargetReport}
	/** To one member; lost when there is no link to it. */
		| {readonly type: 'peer-send'; readonly to: string; readonly message: PeerMessage}
	/** To every member that can be reached. */
		| {readonly type: 'peer-broadcast'; readonly message: PeerMessage}
		| {readonly type: 'peer-received'; readonly from: string; readonly message: PeerMessage}
		| {readonly type: 'peer-connected'; readonly id: string}
		| {readonly type: 'peer-disconnected'; readonly id: string}
	/** Heartbeats go out in this turn; what goes out with them costs the links no write of its own. */
		| {readonly type: 'heartbeat-sending'}
	/** What the platform's list of VMs said just now; it lags behind the truth. */
		| {readonly type: 'machines-listed'; readonly machines: readonly ListedMachine[]}
	/** The share of a service's requests for a new version has changed. */
		| {readonly type: 'version-share-changed'; readonly share: VersionShare}
	/** The shifts between regions as the table's rows show them. */
		| {readonly type: 'shifts-changed'; readonly shifts: readonly ShiftRow[]}
	/** An operator wants a rollout halted at once. */
		| {readonly type: 'rollout-halt-requested'; readonly rollout: string; readonly reason: string}
	/** The sites of client blocks, for the directory. */
		| {readonly type: 'client-blocks-changed'; readonly table: ClientBlockTable}
	/** One attempt at a target has ended. */
		| {readonly type: 'attempt-finished'; readonly route: Route; readonly target: Target; readonly result: AttemptResult}
	/** Slots at the target were borrowed just now. */
		| {readonly type: 'slots-gained'; readonly target: string}
	/** A source of the traffic's configuration has read a version of it. */
		| {readonly type: 'traffic-configuration-read'; readonly configuration: TrafficConfiguration}
	/** A source has read all of the operator's orders. */
		| {readonly type: 'traffic-orders-read'; readonly orders: TrafficOrders}
	/** A source has read all registrations of targets. */
		| {readonly type: 'traffic-targets-read'; readonly targets: RegisteredTargets}
	/** A peer knows a newer revision than this node's source has told. */
		| {readonly type: 'traffic-source-behind'}
	/** A newer configuration of the traffic is in force on this node. */
		| {readonly type: 'traffic-configuration-changed'; readonly configuration: TrafficConfiguration}
		| {readonly type: 'traffic-orders-changed'; readonly orders: TrafficOrders}
		| {readonly type: 'traffic-targets-changed'; readonly targets: RegisteredTargets}
	/** The revisions of what this node knows of the traffic. */
		| {readonly type: 'knowledge-revised'; readonly revisions: KnowledgeRevisions}
	/** The gateways that look-ups may name, this node included. */
		| {readonly type: 'serving-gateways-changed'; readonly members: readonly Member[]}
	/** The busy part of each gateway's time, by its identifier. */
		| {readonly type: 'gateway-utilizations-changed'; readonly utilizations: ReadonlyMap<string, number>}
	/** Requests per second by customer, of each gateway that may use a share of the rate. */
		| {readonly type: 'customer-demands-changed'; readonly demands: ReadonlyMap<string, Readonly<Record<string, number>>>; readonly knownGateways: number}
	/** Requests per second by customer that came to this node. */
		| {readonly type: 'own-demands-measured'; readonly demands: Readonly<Record<string, number>>}
	/** The node takes no new work from now on. */
		| {readonly type: 'drain-started'};
