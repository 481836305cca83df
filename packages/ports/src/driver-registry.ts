/** Registries of the drivers of each port. A driver registers itself when its module is loaded. */
import type {MachineList} from './machine-list-port.js';
import type {ObjectStore} from './object-store-port.js';
import type {TargetHealthReader} from './target-health-port.js';
import type {TableService} from './table-port.js';
import {UnknownDriverError} from './errors.js';

/** Limits on the calls of a driver. */
export type CallLimits = {
	readonly timeoutMilliseconds: number;
	readonly maximumCallsInFlight: number;
};

export type DriverSettings = CallLimits & {
	/** The base address of the service, for example `http://10.0.0.1:5001`. */
	readonly address: string;
};

/** Health is read from each target's own address, so there is no base address. */
export type TargetHealthSettings = CallLimits & {
	/** The path of the health endpoint, for example `/health`. */
	readonly path: string;
};

type Driver<Port, Settings> = (settings: Settings) => Port;

export type DriverRegistry<Port, Settings = DriverSettings> = {
	register: (name: string, driver: Driver<Port, Settings>) => void;
	/** Throws {@link UnknownDriverError} for a name that isn't registered. */
	open: (name: string, settings: Settings) => Port;
};

function createDriverRegistry<Port, Settings = DriverSettings>(port: string): DriverRegistry<Port, Settings> {
	const drivers = new Map<string, Driver<Port, Settings>>();
	return {
		register(name, driver) {
			drivers.set(name, driver);
		},
		open(name, settings) {
			const driver = drivers.get(name);
			if (!driver) {
				throw new UnknownDriverError(port, name, [...drivers.keys()]);
			}

			return driver(settings);
		},
	};
}

export const tableDrivers = createDriverRegistry<TableService>('table');
export const objectDrivers = createDriverRegistry<ObjectStore>('object store');
export const machineListDrivers = createDriverRegistry<MachineList>('machine list');
export const targetHealthDrivers = createDriverRegistry<TargetHealthReader, TargetHealthSettings>('target health');
