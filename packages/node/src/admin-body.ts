/** Reads the body of an admin request. A lost connection is a failure result, never an exception. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {
	type Result, bytesPerMebibyte, fail, succeed,
} from '@catkindale/common';

export type AdminBodyFailure = 'cut-off' | 'too-large';

/** Large enough for the manifest of the largest configuration with comments. */
export const maximumAdminBodyBytes = 8 * bytesPerMebibyte;

export async function readAdminBody(request: IncomingMessage): Promise<Result<string, AdminBodyFailure>> {
	if (Number(request.headers['content-length'] ?? 0) > maximumAdminBodyBytes) {
		return fail('too-large');
	}

	const chunks: Buffer[] = [];
	let bytes = 0;
	try {
		for await (const chunk of request as AsyncIterable<Buffer>) {
			bytes += chunk.length;
			if (bytes > maximumAdminBodyBytes) {
				return fail('too-large');
			}

			chunks.push(chunk);
		}
	} catch {
		return fail('cut-off');
	}

	return succeed(Buffer.concat(chunks).toString('utf8'));
}
