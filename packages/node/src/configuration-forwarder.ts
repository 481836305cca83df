/**
 * Forwards configurations to peers. The node that commits a change pushes it to
 * all its peers. Every other node waits for its peers' heartbeats and sends the
 * configuration only to peers that still lack it, because a network partition
 * can keep the first push from them.
 */
import type {VersionedConfigurationRecord} from '@catkindale/policy';
import type {PeerMessage} from '@catkindale/protocol';
import type {NodeContext} from './node-context.js';

export type ConfigurationForwarder = {
	forward: (record: VersionedConfigurationRecord, source: string) => void;
	stop: () => void;
};

/** Number of heartbeat intervals after which a peer that hasn't confirmed a version is assumed to lack it. */
const confirmationHeartbeats = 1.5;

export function createConfigurationForwarder(context: NodeContext): ConfigurationForwarder {
	const {bus, settings} = context;
	const peerVersions = new Map<string, number>();
	const confirmationMilliseconds = confirmationHeartbeats * settings.timing.heartbeatMilliseconds;
	let latest: VersionedConfigurationRecord | undefined;
	let timer: NodeJS.Timeout | undefined;

	const sendToOutdatedPeers = (): void => {
		timer = undefined;
		for (const [id, version] of peerVersions) {
			if (latest && version < latest.version) {
				bus.publish({type: 'peer-send', to: id, message: createConfigurationMessage(latest)});
			}
		}
	};

	const subscriptions = [
		bus.subscribe('peer-connected', ({id}) => {
			peerVersions.set(id, 0);
		}),
		bus.subscribe('peer-disconnected', ({id}) => {
			peerVersions.delete(id);
		}),
		bus.subscribe('peer-received', ({from, message}) => {
			if (message.type === 'heartbeat' || message.type === 'configuration') {
				const version = message.type === 'heartbeat' ? message.configurationVersion : message.version;
				peerVersions.set(from, Math.max(version, peerVersions.get(from) ?? 0));
			}
		}),
	];
	return {
		forward(record, source) {
			latest = record;
			if (source === 'change') {
				bus.publish({type: 'peer-broadcast', message: createConfigurationMessage(record)});
			}

			timer ??= setTimeout(sendToOutdatedPeers, confirmationMilliseconds);
		},
		stop() {
			clearTimeout(timer);
			for (const unsubscribe of subscriptions) {
				unsubscribe();
			}
		},
	};
}

export function createConfigurationMessage({version, history, configuration}: VersionedConfigurationRecord): PeerMessage {
	return {
		type: 'configuration', version, history, configuration,
	};
}
