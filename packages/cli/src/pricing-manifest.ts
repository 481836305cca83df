/** Formats a manifest with one pricing service, for the demo and the benches. */
import {hashText} from '@catkindale/common';
import {formatManifest} from '@catkindale/node';

export type PricingCustomer = {readonly name: string; readonly rate: number; readonly burst: number; readonly key: string};
export type PricingTarget = {readonly name: string; readonly region: string; readonly address: string; readonly slots: number};

export type PricingManifest = {
	/** Each region gets one availability zone, named after the region with the suffix `-a`. */
	readonly regions: readonly string[];
	readonly customers: readonly PricingCustomer[];
	readonly targets: readonly PricingTarget[];
	/** Adds a route for orders, which run at most once. */
	readonly hasOrders?: boolean;
};

const service = 'pricing';
const version = '1';
const schemePattern = /^http:\/\//v;

export function formatPricingManifest({regions, customers, targets, hasOrders = false}: PricingManifest): string {
	const orders = {
		service, method: 'POST' as const, path: '/orders', idempotent: false,
	};
	const prices = {
		service, method: 'GET' as const, path: '/prices/:airfield', idempotent: true,
	};
	return formatManifest({
		regions: regions.map(name => ({name, zones: [getZone(name)]})),
		customers: customers.map(({name, rate, burst}) => ({name, rate, burst})),
		keys: customers.map(({name, key}) => ({customer: name, hash: hashText(key)})),
		services: [{name: service, version}],
		routes: hasOrders ? [prices, orders] : [prices],
		targets: targets.map(({address, ...target}) => ({
			...target, service, version, zone: getZone(target.region), address: address.replace(schemePattern, ''),
		})),
	});
}

function getZone(region: string): string {
	return `${region}-a`;
}
