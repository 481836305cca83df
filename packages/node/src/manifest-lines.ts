/** Finds the line of a manifest that an issue refers to, because parsed TOML has no positions. */

const tableHeader = /^\s*\[{1,2}\s*([^\[\]]+?)\s*\]{1,2}\s*(?:#.*)?$/v;
const assignment = /^\s*["']?([^"'=\s]+)["']?\s*=/v;

/**
 * Returns the line, counted from 1, of a path such as `['targets', 3, 'region']`:
 * that of the field or, if the field is missing, that of its table. Returns
 * undefined if both are missing.
 */
export function findManifestLine(text: string, path: ReadonlyArray<string | number>): number | undefined {
	const [tableName, index, field] = path;
	if (typeof tableName !== 'string') {
		return undefined;
	}

	const elementIndex = typeof index === 'number' ? index : 0;
	const fieldName = typeof index === 'number' ? field : index;
	let table: string | undefined;
	let currentIndex = -1;
	let tableLine: number | undefined;
	for (const [position, line] of text.split('\n').entries()) {
		const header = tableHeader.exec(line)?.[1];
		if (header !== undefined) {
			table = header;
			currentIndex += header === tableName ? 1 : 0;
			tableLine ??= header === tableName && currentIndex === elementIndex ? position + 1 : undefined;
			continue;
		}

		const key = assignment.exec(line)?.[1];
		if (table === undefined && key === tableName) {
			return position + 1;
		}

		if (table === tableName && currentIndex === elementIndex && key !== undefined && key === fieldName) {
			return position + 1;
		}
	}

	return tableLine;
}
