/** Drivers of the platform ports register here when their module is loaded. */
import type {MachineList} from './machine-list-port.js';
import type {ObjectStore} from './object-store-port.js';
import type {TableService} from './table-port.js';
import {UnknownDriverError} from './errors.js';

export type DriverSettings = {
	/** The base address of the service, for example `http://10.0.0.1:5001`. */
	readonly address: string;
	readonly timeoutMilliseconds: number;
	readonly maximumCallsInFlight: number;
};

type Driver<Port> = (settings: DriverSettings) => Port;

export type DriverRegistry<Port> = {
	register: (name: string, driver: Driver<Port>) => void;
	/** Throws {@link UnknownDriverError} for a name that isn't registered. */
	open: (name: string, settings: DriverSettings) => Port;
};

function createDriverRegistry<Port>(port: string): DriverRegistry<Port> {
	const drivers = new Map<string, Driver<Port>>();
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
