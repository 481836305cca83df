/** Checks that the parts of a traffic configuration fit together. */
import type {TrafficConfiguration} from './traffic-configuration.js';

/** Returns one line for each contradiction; none if the configuration can be used. */
export function findConfigurationConflicts({routes, services, customers}: Pick<TrafficConfiguration, 'routes' | 'services' | 'customers'>): string[] {
	const serviceNames = new Set(services.map(({name}) => name));
	const unknownServices = routes.flatMap(({name, destinations}) => destinations
		.filter(({service}) => !serviceNames.has(service))
		.map(({service}) => `route ${name}: the service ${service} isn't declared`));
	const customersByKey = new Map<string, string>();
	const sharedKeys: string[] = [];
	for (const {name, keyHashes} of customers) {
		for (const hash of keyHashes) {
			const holder = customersByKey.get(hash) ?? name;
			customersByKey.set(hash, holder);
			if (holder !== name) {
				sharedKeys.push(`customer ${name}: a key is that of ${holder} too`);
			}
		}
	}

	return [...unknownServices, ...sharedKeys];
}
