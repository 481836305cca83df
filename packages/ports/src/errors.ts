/** Errors of the driver registries. */
import VError from 'verror';

/** Thrown at start-up when the settings name a driver that isn't registered. */
export class UnknownDriverError extends VError {
	constructor(port: string, driver: string, known: readonly string[]) {
		super({name: 'UnknownDriverError', info: {port, driver}}, 'no %s driver "%s"; known drivers: %s', port, driver, known.join(', '));
	}
}
