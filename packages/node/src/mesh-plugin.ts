/**
 * Owns the connections between nodes. Dials the members that have no link,
 * spreads broadcasts and shows by heartbeats that this node lives.
 */
import {type Socket, connect, createServer} from 'node:net';
import type {Member} from '@catkindale/policy';
import {roles} from './constants.js';
import {getAddress, listenOn} from './http-server.js';
import {type MeshLink, openLink} from './mesh-link.js';
import {nodePlugins} from './node-context.js';
import {startPeriodicWork} from './periodic-work.js';

const startOrder = 10;
const handshakeTimeoutMilliseconds = 3000;

nodePlugins.register({
	name: 'mesh',
	roles,
	order: startOrder,
	async start(context) {
		const {bus, logger, settings} = context;
		const own = {id: settings.node.name, incarnation: context.incarnation};
		const links = new Map<string, MeshLink>();
		const openLinks = new Set<MeshLink>();
		const dialing = new Set<string>();
		let members: readonly Member[] = [];
		let configurationVersion = 0;

		const adopt = (socket: Socket, dialed?: string): void => {
			const link = openLink({
				socket,
				own,
				secret: settings.secrets.peer,
				handshakeTimeoutMilliseconds,
				onReady(ready) {
					const id = ready.peer?.id ?? '';
					const previous = links.get(id);
					links.set(id, ready);
					previous?.close('replaced by a newer link');
					logger.info('peer_connected', {peer: id});
					bus.publish({type: 'peer-connected', id});
				},
				onMessage(ready, message) {
					bus.publish({type: 'peer-received', from: ready.peer?.id ?? '', message});
				},
				onClosed(closed, reason) {
					openLinks.delete(closed);
					dialing.delete(dialed ?? '');
					const id = closed.peer?.id;
					if (id !== undefined && links.get(id) === closed) {
						links.delete(id);
						logger.info('peer_disconnected', {peer: id, reason});
						bus.publish({type: 'peer-disconnected', id});
					}
				},
			});
			openLinks.add(link);
		};

		const dial = (address: string): void => {
			if (dialing.has(address) || address === context.bound.peer) {
				return;
			}

			dialing.add(address);
			adopt(connect(getAddress(address)), address);
		};

		const maintain = async (): Promise<void> => {
			// The member with the lower identifier dials, so that pairs get one link.
			const missing = members.filter(member => own.id < member.id && !links.has(member.id));
			for (const member of missing) {
				dial(member.peerAddress);
			}

			if (members.length === 0) {
				for (const address of settings.peers) {
					dial(address);
				}
			}

			bus.publish({type: 'peer-broadcast', message: {type: 'heartbeat', configurationVersion, tableAgeMilliseconds: 0}});
		};

		const server = createServer(socket => {
			adopt(socket);
		});
		context.bound.peer = await listenOn(server, settings.listen.peer);
		const endings = [
			bus.subscribe('peer-send', ({to, message}) => {
				links.get(to)?.send(message);
			}),
			bus.subscribe('peer-broadcast', ({message}) => {
				for (const link of links.values()) {
					link.send(message);
				}
			}),
			bus.subscribe('membership-changed', message => {
				members = message.members;
				work.runSoon();
			}),
			bus.subscribe('configuration-changed', message => {
				configurationVersion = message.version;
			}),
		];
		const work = startPeriodicWork(maintain, settings.timing.heartbeatMilliseconds);
		return {
			async stop() {
				await work.stop();
				for (const end of endings) {
					end();
				}

				for (const link of openLinks) {
					link.close('this node stops');
				}

				await new Promise<void>(resolve => {
					server.close(() => {
						resolve();
					});
				});
			},
		};
	},
});
