/** Stand-in for the platform's list of VMs. A list set with `PUT /machines` becomes visible after the configured lag. */
import * as z from 'zod';
import type {Address} from '@catkindale/common';
import type {ListedMachine} from '@catkindale/ports';
import {
	type Standin, listen, readJson, sendJson,
} from './standin.js';

const machinesSchema = z.object({
	machines: z.array(z.object({id: z.string(), state: z.enum(['live', 'leaving'])})),
});

type Listing = {readonly visibleAt: number; readonly machines: readonly ListedMachine[]};

const statusOk = 200;

export async function startMachineListStandin(address: Address, lagMilliseconds = 0): Promise<Standin> {
	let listings: Listing[] = [{visibleAt: 0, machines: []}];
	return listen(address, async (request, response) => {
		const now = performance.now();
		if (request.method === 'PUT') {
			const {machines} = machinesSchema.parse(await readJson(request));
			listings.push({visibleAt: now + lagMilliseconds, machines});
		}

		const newest = listings.findLastIndex(listing => listing.visibleAt <= now);
		listings = listings.slice(newest);
		sendJson(response, statusOk, {machines: listings[0]?.machines ?? []});
	});
}
