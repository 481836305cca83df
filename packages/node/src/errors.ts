/** Errors that stop a node from starting. */
import VError from 'verror';

/** Thrown when settings are invalid; each line names the file, the field and the reason. */
export class SettingsError extends VError {
	constructor(readonly lines: readonly string[]) {
		super({name: 'SettingsError'}, '%s', lines.join('\n'));
	}
}
