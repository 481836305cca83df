/** The messages that the plug-ins of a node exchange over its message bus. */
import type {
	ClientBlockTable, Member, Restriction, Route, ShiftRow, Target, TargetReport, TrafficConfiguration, VersionedConfiguration, VersionedConfigurationRecord,
} from '@catkindale/policy';
import type {ListedMachine} from '@catkindale/ports';
import type {
	KnowledgeRevisions, PeerMessage, RegisteredTargets, TargetLimit, TrafficOrders,
} from '@catkindale/protocol';
import type {FleetLinks} from './fleet-links.js';
import type {FreshnessValidity} from './freshness-validity.js';
import type {QuotaFleet} from './gateway-quotas.js';
import type {AttemptResult} from './target-selector.js';
import type {VersionShare} from './version-chooser.js';

export type NodeMessage
	/** The effective configuration of this node has changed. */
	= | ({readonly type: 'configuration-changed'} & VersionedConfiguration)
	/** The members of the whole fleet according to the table. */
		| {readonly type: 'membership-changed'; readonly members: readonly Member[]}
	/** This node has just read the table. */
		| {readonly type: 'table-read'}
	/** Whether this node polls the table at the full rate from now on. */
		| {readonly type: 'table-reading-changed'; readonly isReader: boolean}
	/** An operator's change was committed and must be read at once. */
		| {readonly type: 'configuration-committed'; readonly version: number}
	/** A committed configuration, from the table, a peer or a change of this node. */
		| {readonly type: 'configuration-received'; readonly record: VersionedConfigurationRecord; readonly source: string}
	/** The record of the highest version that this node has received; it may not be effective yet. */
		| {readonly type: 'configuration-known'; readonly record: VersionedConfigurationRecord}
	/** The configuration row was read; `startedAt` is the monotonic time at which the read began. */
		| {readonly type: 'configuration-read'; readonly startedAt: number}
	/** How long the state of this node may be treated as current. */
		| {readonly type: 'freshness-changed'; readonly validity: FreshnessValidity}
	/** Members that lookups leave out because they are unresponsive, draining or doubted. */
		| {readonly type: 'unavailable-members-changed'; readonly ids: ReadonlySet<string>}
	/** The members according to a peer, for use while the table can't be read. */
		| {readonly type: 'members-received'; readonly members: readonly Member[]}
	/** An operator's restriction, which takes effect at once on all nodes. */
		| {readonly type: 'restriction-issued'; readonly restriction: Restriction}
	/** The restrictions that no configuration contains yet. */
		| {readonly type: 'restrictions-changed'; readonly restrictions: readonly Restriction[]}
	/** A response of a target reports that the target is leaving. */
		| {readonly type: 'target-leaving-reported'; readonly target: string}
	/** The targets that are leaving according to the platform's list or their own report. */
		| {readonly type: 'leaving-targets-changed'; readonly targets: ReadonlySet<string>}
	/** A target's report of its own health, read by this node or by a peer. */
		| {readonly type: 'target-reported'; readonly target: Target; readonly report: TargetReport}
	/** Sends a message to one member; it is lost if there is no link to the member. */
		| {readonly type: 'peer-send'; readonly to: string; readonly message: PeerMessage}
	/** Sends a message to every reachable member, or to these. */
		| {readonly type: 'peer-broadcast'; readonly message: PeerMessage; readonly to?: readonly string[]}
	/** The members with which this node keeps links; those without one are dialled. */
		| {readonly type: 'peers-wanted'; readonly members: readonly Member[]}
	/** Closes the link to a member that isn't needed. */
		| {readonly type: 'peer-close'; readonly id: string}
	/** With which gateways this one keeps links. */
		| {readonly type: 'fleet-links-changed'; readonly links: FleetLinks}
		| {readonly type: 'peer-received'; readonly from: string; readonly message: PeerMessage}
		| {readonly type: 'peer-connected'; readonly id: string}
		| {readonly type: 'peer-disconnected'; readonly id: string}
	/** Heartbeats are sent in this turn of the event loop; messages sent in the same turn cost the links no extra write. */
		| {readonly type: 'heartbeat-sending'}
	/** The platform's list of VMs as just read; it lags behind the actual state. */
		| {readonly type: 'machines-listed'; readonly machines: readonly ListedMachine[]}
	/** The share of a service's requests for a new version has changed. */
		| {readonly type: 'version-share-changed'; readonly share: VersionShare}
	/** The shifts between regions according to their latest rows. */
		| {readonly type: 'shifts-changed'; readonly shifts: readonly ShiftRow[]}
	/** An operator requests that a rollout be halted at once. */
		| {readonly type: 'rollout-halt-requested'; readonly rollout: string; readonly reason: string}
	/** The sites of client blocks, for the directory. */
		| {readonly type: 'client-blocks-changed'; readonly table: ClientBlockTable}
	/** One attempt at a target has ended. */
		| {readonly type: 'attempt-finished'; readonly route: Route; readonly target: Target; readonly result: AttemptResult}
	/** This node has just borrowed slots of the target. */
		| {readonly type: 'slots-gained'; readonly target: string}
	/** A traffic source has read a version of the traffic configuration. */
		| {readonly type: 'traffic-configuration-read'; readonly configuration: TrafficConfiguration}
	/** A traffic source has read all orders of the operator. */
		| {readonly type: 'traffic-orders-read'; readonly orders: TrafficOrders}
	/** A traffic source has read all registrations of targets. */
		| {readonly type: 'traffic-targets-read'; readonly targets: RegisteredTargets}
	/** The source has come back from a copy of its rows. What this node wrote to it last may be missing. */
		| {readonly type: 'traffic-source-restored'; readonly era: number}
	/** A peer has a newer revision than this node's traffic source has published. */
		| {readonly type: 'traffic-source-behind'}
	/** The source of this node or of a peer (`from`) answers again. The answer of its last failed call was due the given time before; calls that wait since then or longer may never be answered. */
		| {readonly type: 'traffic-source-regained'; readonly missingMilliseconds: number; readonly from?: string}
	/** This process didn't run for the given time. What it knew may have been changed or taken over by others since. */
		| {readonly type: 'process-paused'; readonly milliseconds: number}
	/** This node's source was read after a pause of the process. */
		| {readonly type: 'traffic-source-confirmed'}
	/** Whether the calls of this node's own source fail. */
		| {readonly type: 'traffic-source-state-changed'; readonly isFailing: boolean}
	/** The nodes that follow the source; the others receive its changes from them. */
		| {readonly type: 'source-readers-changed'; readonly readerIds: readonly string[]; readonly isReader: boolean}
	/** A newer traffic configuration is effective on this node. */
		| {readonly type: 'traffic-configuration-changed'; readonly configuration: TrafficConfiguration}
		| {readonly type: 'traffic-orders-changed'; readonly orders: TrafficOrders}
		| {readonly type: 'traffic-targets-changed'; readonly targets: RegisteredTargets}
	/** The revisions of the traffic configuration, orders and targets on this node. */
		| {readonly type: 'knowledge-revised'; readonly revisions: KnowledgeRevisions}
	/** The gateways that lookups may return, including this node. */
		| {readonly type: 'serving-gateways-changed'; readonly members: readonly Member[]}
	/** The event loop utilization of each gateway, by its identifier. */
		| {readonly type: 'gateway-utilizations-changed'; readonly utilizations: ReadonlyMap<string, number>}
	/** Demand in requests per second by customer, for each gateway that may use a share of the rate, and the requests per second that each of them receives. */
		| {readonly type: 'customer-demands-changed'; readonly demands: ReadonlyMap<string, Readonly<Record<string, number>>>; readonly requestRates: ReadonlyMap<string, number>; readonly fleet: QuotaFleet}
	/** Requests per second by customer on whose admission this node decides, and those of all customers that it receives. */
		| {readonly type: 'own-demands-measured'; readonly demands: Readonly<Record<string, number>>; readonly requestRate: number}
	/** Limits that targets have named to this node, changed or ended. */
		| {readonly type: 'target-limits-changed'; readonly limits: readonly TargetLimit[]}
	/** The node accepts no new work from now on. */
		| {readonly type: 'drain-started'};
