/** Starts a node in this process on free loopback ports and without logs, for the demo and the benches. */
import {createSilentLogger} from '@catkindale/common';
import {
	type NodeHandle, type SettingsInput, settingsSchema, startNode,
} from '@catkindale/node';
import type {Standin} from '@catkindale/standins';

export type EmbeddedPlatform = Record<'table' | 'objects' | 'machines', Standin>;

export type EmbeddedNode = Pick<SettingsInput, 'limits' | 'timing'> & {
	readonly place: {readonly name: string; readonly region: string; readonly zone: string};
	readonly platform: EmbeddedPlatform;
	readonly operatorToken: string;
};

const freePort = '127.0.0.1:0';
const peerSecret = 'secret-of-the-embedded-fleet';

export async function startEmbeddedNode({place, platform, operatorToken, ...options}: EmbeddedNode): Promise<NodeHandle> {
	const settings = settingsSchema.parse({
		...options,
		node: place,
		listen: {
			caller: freePort, peer: freePort, admin: freePort, metrics: freePort,
		},
		platform: {
			table: {address: platform.table.address},
			objects: {address: platform.objects.address},
			machines: {address: platform.machines.address},
		},
		secrets: {peer: peerSecret, operatorToken},
	});
	return startNode(settings, {logger: createSilentLogger()});
}
