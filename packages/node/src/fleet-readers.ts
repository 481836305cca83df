/** Tells which gateways follow the store, from those that this one has a link to. */
import {type Member, chooseSourceReaders} from '@catkindale/policy';
import type {FleetLinks} from './fleet-links.js';
import type {FleetView} from './fleet-view.js';
import type {NodeContext} from './node-context.js';

/** Heartbeats of a reader that may be missing until another gateway reads in its place. */
const missingReaderHeartbeats = 2;
/** Added to the missing heartbeats of a reader for their way and a busy process. */
const readerMarginMilliseconds = 100;

export type ReaderInput = {
	readonly links: FleetLinks;
	/** The gateways that serve, this one included if it does. */
	readonly serving: readonly Member[];
	readonly isServing: boolean;
	readonly isSourceFailing: boolean;
};

export type FleetReaders = {
	readonly isReader: () => boolean;
	/** Publishes the readers if they have changed. */
	readonly update: (input: ReaderInput) => void;
};

export function createFleetReaders({bus, logger, settings}: Pick<NodeContext, 'bus' | 'logger' | 'settings'>, view: FleetView): FleetReaders {
	const {name: ownId} = settings.node;
	const silenceMilliseconds = (missingReaderHeartbeats * settings.timing.heartbeatMilliseconds) + readerMarginMilliseconds;
	let isReader = true;
	let candidatesKey = '';
	let readersKey = '';

	const isServingPeer = (id: string): boolean => view.isFresh(id, silenceMilliseconds) && view.peers.get(id)?.report?.isServing === true;

	const chooseReaders = ({links, serving, isServing, isSourceFailing}: ReaderInput): string[] | undefined => {
		const candidates = serving.filter(({id}) => (links.kind === 'mesh' || links.relayIds.includes(id)) && (id === ownId || isServingPeer(id)))
			.map(({id, region}) => ({id, region, isFailing: id === ownId ? isSourceFailing : view.peers.get(id)?.report?.isSourceFailing === true}));
		const nextKey = `${isServing} ${candidates.map(({id, isFailing}) => `${id} ${isFailing}`).toSorted().join(',')}`;
		if (nextKey === candidatesKey) {
			return undefined;
		}

		candidatesKey = nextKey;
		// A gateway that doesn't serve has no reader that it could rely on: it may be cut off or about to stop.
		if (!isServing) {
			return [ownId];
		}

		// An attached gateway hears of changes from its relays, whoever reads.
		return links.kind === 'attached' ? (candidates.length > 0 ? candidates.map(({id}) => id) : [ownId]) : chooseSourceReaders(candidates);
	};

	return {
		isReader: () => isReader,
		update(input) {
			const readerIds = chooseReaders(input);
			const key = readerIds?.join(',');
			if (readerIds === undefined || key === undefined || key === readersKey) {
				return;
			}

			readersKey = key;
			isReader = readerIds.includes(ownId);
			logger.info('source_readers', {readers: key, isReader});
			bus.publish({type: 'source-readers-changed', readerIds, isReader});
		},
	};
}
