/** Counts the bytes of the connections between nodes for `/metrics`. */
import {Counter} from 'prom-client';
import type {MeshLink} from './mesh-link.js';
import type {NodeContext} from './node-context.js';

export type MeshTraffic = {
	/** Adds the bytes of a link that has closed to the totals. */
	addClosedLink: (closed: MeshLink) => void;
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
	return {
		addClosedLink(closed) {
			const {sent, received} = closed.getTraffic();
			closedSent += sent;
			closedReceived += received;
		},
	};
}
