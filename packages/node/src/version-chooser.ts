/**
 * Chooses the version of a service that takes a request. The share of a new
 * version is kept by counting: never above share x requests + 1 on this node.
 */
import type {Configuration} from '@catkindale/policy';

/** The share of a service's requests that may go to a new version. */
export type VersionShare = {readonly service: string; readonly version: string; readonly share: number};

export type VersionChooser = {
	setConfiguration: (configuration: Configuration) => void;
	setShare: (share: VersionShare) => void;
	/** Undefined for a service that isn't configured. */
	choose: (service: string) => string | undefined;
};

type Counter = {readonly share: VersionShare; requests: number; sent: number};

export function createVersionChooser(): VersionChooser {
	const versions = new Map<string, string>();
	const counters = new Map<string, Counter>();
	return {
		setConfiguration(configuration) {
			versions.clear();
			for (const service of configuration.services) {
				versions.set(service.name, service.version);
			}
		},
		setShare(share) {
			counters.set(share.service, {share, requests: 0, sent: 0});
		},
		choose(service) {
			const counter = counters.get(service);
			if (!counter) {
				return versions.get(service);
			}

			counter.requests += 1;
			if (counter.sent + 1 > counter.share.share * counter.requests) {
				return versions.get(service);
			}

			counter.sent += 1;
			return counter.share.version;
		},
	};
}
