/** Counts the bytes and messages between nodes for `/metrics`. */
import {Counter} from 'prom-client';
import {millisecondsPerSecond} from '@catkindale/common';
import type {PeerMessage} from '@catkindale/protocol';
import type {MeshLink} from './mesh-link.js';
import type {NodeContext} from './node-context.js';

export type MeshTraffic = {
	/** Adds the bytes of a link that has closed to the totals. */
	addClosedLink: (closed: MeshLink) => void;
	/** @param bytes the size of the message, which was sent to so many peers */
	addSent: (type: PeerMessage['type'], bytes: number, count: number) => void;
	/** @param milliseconds spent on handling the message */
	addReceived: (type: PeerMessage['type'], milliseconds: number) => void;
};

export function createMeshTraffic(context: NodeContext, openLinks: ReadonlySet<MeshLink>): MeshTraffic {
	let closedSent = 0;
	let closedReceived = 0;
	// eslint-disable-next-line no-new
	new Counter({
		name: 'catkindale_control_bytes_total',
		help: 'Bytes sent to and received from other nodes',
		labelNames: ['direction'],
		registers: [context.metrics],
		collect() {
			let sent = closedSent;
			let received = closedReceived;
			for (const link of openLinks) {
				const bytes = link.getTraffic();
				sent += bytes.sent;
				received += bytes.received;
			}

			this.reset();
			this.inc({direction: 'sent'}, sent);
			this.inc({direction: 'received'}, received);
		},
	});
	const messages = new Counter({
		name: 'catkindale_control_messages_total',
		help: 'Messages sent to and received from other nodes, by type',
		labelNames: ['direction', 'type'],
		registers: [context.metrics],
	});
	const seconds = new Counter({
		name: 'catkindale_control_seconds_total', help: 'Time spent on handling the messages of other nodes, by type', labelNames: ['type'], registers: [context.metrics],
	});
	const sentBytes = new Counter({
		name: 'catkindale_control_sent_bytes_total', help: 'Bytes of the messages sent to other nodes, by type', labelNames: ['type'], registers: [context.metrics],
	});
	return {
		addSent(type, bytes, count) {
			messages.inc({direction: 'sent', type}, count);
			sentBytes.inc({type}, bytes * count);
		},
		addReceived(type, milliseconds) {
			messages.inc({direction: 'received', type});
			seconds.inc({type}, milliseconds / millisecondsPerSecond);
		},
		addClosedLink(closed) {
			const {sent, received} = closed.getTraffic();
			closedSent += sent;
			closedReceived += received;
		},
	};
}
