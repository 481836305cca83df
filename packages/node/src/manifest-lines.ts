/** Finds the line of a manifest that a fault is about, since the parsed data has no positions. */

const tableHeader = /^\s*\[{1,2}\s*([^\[\]]+?)\s*\]{1,2}\s*(?:#.*)?$/v;
const assignment = /^\s*["']?([^"'=\s]+)["']?\s*=/v;

/**
 * The line, counted from 1, of a path such as `['targets', 3, 'region']`: of
 * the field if it stands there, else of its table. Undefined if neither does.
 */
export function findManifestLine(text: string, path: ReadonlyArray<string | number>): number | undefined {
	const [list, index, field] = path;
	if (typeof list !== 'string') {
		return undefined;
	}

	const entry = typeof index === 'number' ? index : 0;
	const wantedField = typeof index === 'number' ? field : index;
	let table: string | undefined;
	let seen = -1;
	let found: number | undefined;
	for (const [position, line] of text.split('\n').entries()) {
		const header = tableHeader.exec(line)?.[1];
		if (header !== undefined) {
			table = header;
			seen += header === list ? 1 : 0;
			found ??= header === list && seen === entry ? position + 1 : undefined;
			continue;
		}

		const key = assignment.exec(line)?.[1];
		if (table === undefined && key === list) {
			return position + 1;
		}

		if (table === list && seen === entry && key !== undefined && key === wantedField) {
			return position + 1;
		}
	}

	return found;
}
