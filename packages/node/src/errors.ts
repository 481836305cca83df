/** Errors that stop a node from starting. */
import VError from 'verror';

/** Thrown when settings can't be used; each line names file, field and reason. */
export class SettingsError extends VError {
	constructor(readonly lines: readonly string[]) {
		super({name: 'SettingsError'}, '%s', lines.join('\n'));
	}
}
