/**
 * Manages the connections between nodes: dials members without a link, sends
 * broadcasts to all peers and closes links whose peer is unresponsive.
 */
import {type Socket, connect, createServer} from 'node:net';
import {parseAddress} from '@catkindale/common';
import type {Member} from '@catkindale/policy';
import {encodeMessage} from '@catkindale/protocol';
import {gatewayRole, roles} from './constants.js';
import {listenOn} from './http-server.js';
import {createMeshAdmission} from './mesh-admission.js';
import {type MeshLink, openMeshLink} from './mesh-link.js';
import {createMeshTraffic} from './mesh-traffic.js';
import {nodePlugins} from './node-context.js';
import {startPeriodicWork} from './periodic-work.js';

const startOrder = 10;
const handshakeTimeoutMilliseconds = 3000;
const minimumReceiveTimeoutMilliseconds = 3000;
const heartbeatsBeforeTimeout = 6;
const maximumUndialable = 1000;

nodePlugins.register({
	name: 'mesh',
	roles: [...roles, gatewayRole],
	order: startOrder,
	async start(context) {
		const {bus, logger, settings} = context;
		const own = {id: settings.node.name, incarnation: context.incarnation};
		const links = new Map<string, MeshLink>();
		const openLinks = new Set<MeshLink>();
		const dialing = new Set<string>();
		/** Addresses of members that were logged as unusable. */
		const undialable = new Set<string>();
		const traffic = createMeshTraffic(context, openLinks);
		const admission = createMeshAdmission(context);
		let members: readonly Member[] = [];
		let wantedMembers: readonly Member[] = [];
		let isLedgerRead = false;

		const addLink = (socket: Socket, dialedAddress?: string, onHandshakeEnd = (): void => undefined): void => {
			const link = openMeshLink({
				socket,
				own,
				isDialed: dialedAddress !== undefined,
				secret: settings.secrets.peer,
				handshakeTimeoutMilliseconds,
				receiveTimeoutMilliseconds: Math.max(minimumReceiveTimeoutMilliseconds, heartbeatsBeforeTimeout * settings.timing.heartbeatMilliseconds),
				onReady(readyLink) {
					onHandshakeEnd();
					const id = readyLink.peer?.id ?? '';
					const previous = links.get(id);
					if (previous && isPreviousPreferred(own.id, previous, readyLink)) {
						readyLink.close('another link to this peer exists');
						return;
					}

					links.set(id, readyLink);
					previous?.close('replaced by a newer link');
					logger.info('peer_connected', {peer: id});
					bus.publish({type: 'peer-connected', id});
				},
				onMessage(readyLink, message) {
					const from = readyLink.peer?.id ?? '';
					if (links.get(from) === readyLink && !context.cuts.peers.has(from)) {
						const startedAt = performance.now();
						try {
							bus.publish({type: 'peer-received', from, message});
							traffic.addReceived(message.type, performance.now() - startedAt);
						} catch (error) {
							context.inputErrors.record('peer-message', error, {peer: from, type: message.type});
						}
					}
				},
				onClosed(closedLink, reason) {
					if (!closedLink.peer) {
						onHandshakeEnd();
					}

					openLinks.delete(closedLink);
					traffic.addClosedLink(closedLink);
					dialing.delete(dialedAddress ?? '');
					const id = closedLink.peer?.id;
					if (id !== undefined && links.get(id) === closedLink) {
						links.delete(id);
						logger.info('peer_disconnected', {peer: id, reason});
						bus.publish({type: 'peer-disconnected', id});
					}
				},
			});
			openLinks.add(link);
		};

		const logUndialable = (address: string): void => {
			if (!undialable.has(address) && undialable.size < maximumUndialable) {
				undialable.add(address);
				logger.warn('peer_address_unusable', {address});
			}
		};

		const dial = (address: string): void => {
			if (dialing.has(address) || address === context.boundAddresses.peer) {
				return;
			}

			const parsed = parseAddress(address);
			if (!parsed.ok || parsed.value.port === 0) {
				logUndialable(address);
				return;
			}

			dialing.add(address);
			addLink(connect(parsed.value), address);
		};

		const dialMissingMembers = async (): Promise<void> => {
			// The member with the lower identifier dials, so that each pair has one link. A node that
			// hasn't read the ledger dials all members, because none of them has its address.
			const missingMembers = members.filter(member => member.id !== own.id && (own.id < member.id || !isLedgerRead) && !links.has(member.id));
			for (const member of [...missingMembers, ...wantedMembers.filter(({id}) => !links.has(id))]) {
				dial(member.peerAddress);
			}

			if (!isLedgerRead && links.size === 0) {
				for (const address of settings.peers) {
					dial(address);
				}
			}
		};

		const server = createServer(socket => {
			const address = socket.remoteAddress ?? '';
			if (!admission.admit(address)) {
				socket.destroy();
				return;
			}

			addLink(socket, undefined, () => {
				admission.release(address);
			});
		});
		context.boundAddresses.peer = await listenOn(server, settings.listen.peer);
		const unsubscribers = [
			bus.subscribe('peer-send', ({to, message}) => {
				const link = links.get(to);
				if (link && !context.cuts.peers.has(to)) {
					const frame = encodeMessage(message);
					traffic.addSent(message.type, frame.length, 1);
					link.sendEncoded(frame);
				}
			}),
			bus.subscribe('peer-broadcast', ({message, to = [...links.keys()]}) => {
				const frame = encodeMessage(message);
				const reached = to.filter(id => links.has(id) && !context.cuts.peers.has(id));
				traffic.addSent(message.type, frame.length, reached.length);
				for (const id of reached) {
					links.get(id)?.sendEncoded(frame);
				}
			}),
			bus.subscribe('peers-wanted', message => {
				wantedMembers = message.members;
				dialWork.runSoon();
			}),
			bus.subscribe('peer-close', ({id}) => {
				links.get(id)?.close('not needed');
			}),
			bus.subscribe('membership-changed', message => {
				isLedgerRead = true;
				members = message.members;
				dialWork.runSoon();
			}),
			bus.subscribe('members-received', message => {
				members = message.members;
				dialWork.runSoon();
			}),
		];
		const dialWork = startPeriodicWork(dialMissingMembers, settings.timing.heartbeatMilliseconds);
		return {
			async stop() {
				await dialWork.stop();
				for (const unsubscribe of unsubscribers) {
					unsubscribe();
				}

				for (const link of openLinks) {
					link.close('this node is stopping');
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

/**
 * Whether the existing link is kept. Two nodes that dial each other at the same
 * time both keep the link that the node with the lower identifier dialled. A
 * link to a new incarnation of the peer always replaces the existing one.
 */
function isPreviousPreferred(ownId: string, previous: MeshLink, next: MeshLink): boolean {
	if (previous.peer?.incarnation !== next.peer?.incarnation) {
		return false;
	}

	const isDialedByLowerId = (link: MeshLink): boolean => link.isDialed === (ownId < (link.peer?.id ?? ''));
	return isDialedByLowerId(previous) && !isDialedByLowerId(next);
}
