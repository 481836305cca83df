/** Estimates of service times, by route and for all routes of a service together. */
import type {Clock} from '@catkindale/common';
import {
	type ServiceTimeKind, type ServiceTimes, type TrafficRoute, type TrafficService,
	classifyServiceTime, createServiceTimes, getTypicalServiceTime, updateServiceTimes, updateTypicalServiceTime,
} from '@catkindale/policy';

export type RouteServiceTimes = {
	readonly serviceTimes: ServiceTimes;
	/** Whether a recent response confirms `serviceTimes`. */
	readonly isMeasured: boolean;
	/** Mean service time of the requests ahead, for an estimate of their wait. */
	readonly typicalMilliseconds: number;
};

/** Identifies a route of a service for `classify` and `record`. */
export type ServiceTimeKey = {readonly service: string; readonly route: string};

export type GatewayServiceTimes = {
	readonly get: (service: TrafficService, route: TrafficRoute) => RouteServiceTimes;
	readonly classify: (key: ServiceTimeKey, milliseconds: number) => ServiceTimeKind;
	readonly getUncachedMilliseconds: (key: ServiceTimeKey) => number;
	/** Updates the estimates of the route and of its service. */
	readonly record: (key: ServiceTimeKey, isCached: boolean, milliseconds: number) => void;
};

type RouteEstimate = {serviceTimes: ServiceTimes; measuredAt: number};

/** A route whose requests are all refused measures nothing. After this time its estimate no longer rules out targets. */
const measurementLifeMilliseconds = 2000;

export function createGatewayServiceTimes(clock: Clock): GatewayServiceTimes {
	const estimates = new Map<string, RouteEstimate>();
	const typicalByService = new Map<string, number>();

	const getEstimate = ({service, route}: ServiceTimeKey, targetLatencyMilliseconds?: number): RouteEstimate => {
		const key = `${service}\n${route}`;
		const estimate = estimates.get(key) ?? {serviceTimes: createServiceTimes(targetLatencyMilliseconds), measuredAt: Number.NEGATIVE_INFINITY};
		estimates.set(key, estimate);
		return estimate;
	};

	return {
		get(service, route) {
			const {serviceTimes, measuredAt} = getEstimate({service: service.name, route: route.name}, route.targetLatencyMilliseconds);
			const isMeasured = clock.monotonic() - measuredAt <= measurementLifeMilliseconds;
			const ownMilliseconds = getTypicalServiceTime(serviceTimes);
			return {serviceTimes, isMeasured, typicalMilliseconds: isMeasured ? ownMilliseconds : typicalByService.get(service.name) ?? ownMilliseconds};
		},
		classify: (key, milliseconds) => classifyServiceTime(getEstimate(key).serviceTimes, milliseconds),
		getUncachedMilliseconds: key => getEstimate(key).serviceTimes.uncachedMilliseconds,
		record(key, isCached, milliseconds) {
			const estimate = getEstimate(key);
			estimate.serviceTimes = updateServiceTimes(estimate.serviceTimes, isCached, milliseconds);
			estimate.measuredAt = clock.monotonic();
			typicalByService.set(key.service, updateTypicalServiceTime(typicalByService.get(key.service), estimate.serviceTimes));
		},
	};
}
