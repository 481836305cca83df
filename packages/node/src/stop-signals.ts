/** The signals that ask a process to stop. */
import process from 'node:process';
import type {Logger} from '@catkindale/common';

/** Those that would end the process at once if nothing handled them. */
const stopSignals = ['SIGTERM', 'SIGINT', 'SIGQUIT', 'SIGUSR2'] as const;

export type StopSignalOptions = {
	readonly getLogger: () => Logger;
	/** Called at each SIGHUP; without it, SIGHUP asks for a stop too. */
	readonly onHangup?: () => void;
};

/**
 * Resolves with the first signal that asks for a stop. Its handlers remain until
 * the process exits: a signal without a handler would end the process and all
 * requests that it still runs.
 */
export async function waitForStopSignal({getLogger, onHangup}: StopSignalOptions): Promise<NodeJS.Signals> {
	return new Promise(resolve => {
		let isStopping = false;
		const requestStop = (signal: NodeJS.Signals): void => {
			getLogger().info('signal_received', {signal, effect: isStopping ? 'none, the process is stopping' : 'stop'});
			isStopping = true;
			resolve(signal);
		};

		for (const signal of stopSignals) {
			process.on(signal, requestStop);
		}

		process.on('SIGHUP', signal => {
			if (!onHangup) {
				requestStop(signal);
				return;
			}

			getLogger().info('signal_received', {signal, effect: 'reload'});
			onHangup();
		});
	});
}
