/** Configurations, ledgers and messages of a given size, for the capacity bench. */
import {hashText} from '@catkindale/common';
import {
	type Configuration, type Ledger, type LedgerMember, configurationSchema,
} from '@catkindale/policy';
import type {PeerMessage} from '@catkindale/protocol';

const regionCount = 16;
const zonesPerRegion = 4;
const addressesPerSubnet = 256;

/** A configuration with the given numbers of targets and customers; the targets are spread over all zones. */
export function createSampleConfiguration(targetCount: number, customerCount: number): Configuration {
	const regions = Array.from({length: regionCount}, (_, region) => ({
		name: `region-${region}`,
		zones: Array.from({length: zonesPerRegion}, (__, zone) => `zone-${region}-${zone}`),
	}));
	const customers = Array.from({length: customerCount}, (_, index) => ({name: `customer-${index}`, rate: 100, burst: 100}));
	return configurationSchema.parse({
		regions,
		customers,
		keys: customers.map(({name}) => ({customer: name, hash: hashText(name)})),
		services: [{name: 'pricing', version: '1'}],
		routes: [{
			service: 'pricing', method: 'GET', path: '/prices/:airfield', idempotent: true,
		}],
		targets: Array.from({length: targetCount}, (_, index) => {
			const region = index % regionCount;
			return {
				name: `pricing-${index}`,
				service: 'pricing',
				version: '1',
				region: `region-${region}`,
				zone: `zone-${region}-${index % zonesPerRegion}`,
				address: `${createIpv4Address(10, index)}:8080`,
				slots: 4,
			};
		}),
	});
}

/** A ledger with the given number of live members, spread over all zones. */
export function createSampleLedger(memberCount: number, epoch = 1): Ledger {
	const members = Array.from({length: memberCount}, (_, index): LedgerMember => {
		const region = index % regionCount;
		return {
			id: `node-${index}`,
			incarnation: `00000000-0000-4000-8000-${String(index).padStart(12, '0')}`,
			region: `region-${region}`,
			zone: `zone-${region}-${index % zonesPerRegion}`,
			callerAddress: `${createIpv4Address(11, index)}:8080`,
			peerAddress: `${createIpv4Address(11, index)}:7080`,
			state: 'live',
			standing: {kind: 'live'},
		};
	});
	return {epoch, members};
}

function createIpv4Address(network: number, index: number): string {
	const subnetIndex = Math.floor(index / addressesPerSubnet);
	return `${network}.${Math.floor(subnetIndex / addressesPerSubnet)}.${subnetIndex % addressesPerSubnet}.${index % addressesPerSubnet}`;
}

/** Samples of the messages that each pair of linked nodes or of ledger members exchanges periodically. */
export const sampleMessages: Readonly<Record<'heartbeat' | 'ledger report', PeerMessage>> = {
	heartbeat: {
		type: 'heartbeat', sequence: 100_000, echo: 99_999, configurationVersion: 4000, tableAgeMilliseconds: 313, isEstablished: true, isServing: true,
	},
	'ledger report': {
		type: 'ledger-report',
		incarnation: '00000000-0000-4000-8000-000000000001',
		epoch: 4000,
		version: 4000,
		overhang: [],
		sentAt: 123_456_789,
		echoedAt: 123_456_700,
		echoedIncarnation: '00000000-0000-4000-8000-000000000002',
	},
};
