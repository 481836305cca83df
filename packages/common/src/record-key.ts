/**
 * Names from outside as keys of plain objects. Such an object inherits
 * properties, such as `constructor`, and `__proto__` can't be a key of it.
 */

/** Returns the key for a name. The decoder of messages between nodes writes `__proto__` in the same way. */
export function toRecordKey(name: string): string {
	return name === '__proto__' ? '__proto_' : name;
}

/** Returns the value of the name; undefined if the record has none of its own. */
export function getRecordValue<Value>(record: Readonly<Record<string, Value>>, name: string): Value | undefined {
	const key = toRecordKey(name);
	return Object.hasOwn(record, key) ? record[key] : undefined;
}
