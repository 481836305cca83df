/**
 * One connection to a peer. Both sides prove that they have the fleet's secret
 * and then exchange messages. Invalid or unexpected data closes the connection.
 */
import {randomBytes} from 'node:crypto';
import type {Socket} from 'node:net';
import {
	type HelloMessage, type PeerMessage, createFrameReader, createProofCode, encodeMessage, maximumHandshakeFrameBytes, isValidProofCode, maximumFrameBytes, parsePeerMessage, protocolVersion,
} from '@catkindale/protocol';

export type PeerIdentity = {readonly id: string; readonly incarnation: string};

export type MeshLinkOptions = {
	readonly socket: Socket;
	readonly own: PeerIdentity;
	/** Whether this node opened the connection. */
	readonly isDialed: boolean;
	readonly secret: string;
	/** A peer that has completed the handshake and sends nothing for this time is disconnected. */
	readonly receiveTimeoutMilliseconds: number;
	readonly handshakeTimeoutMilliseconds: number;
	readonly onReady: (link: MeshLink) => void;
	readonly onMessage: (link: MeshLink, message: PeerMessage) => void;
	readonly onClosed: (link: MeshLink, reason: string) => void;
};

export type MeshLinkTraffic = {readonly sent: number; readonly received: number};

export type MeshLink = {
	/** Undefined until the peer has proved its membership. */
	readonly peer: PeerIdentity | undefined;
	readonly isDialed: boolean;
	/** Returns the bytes sent and received so far. */
	getTraffic: () => MeshLinkTraffic;
	send: (message: PeerMessage) => void;
	/** Sends a message that is encoded already, as one that goes to many peers. */
	sendEncoded: (frame: Uint8Array) => void;
	close: (reason: string) => void;
};

type HandshakeState
	= | {readonly kind: 'awaiting-hello'}
		| {readonly kind: 'awaiting-proof'; readonly hello: HelloMessage}
		| {readonly kind: 'ready'; readonly peer: PeerIdentity};

const nonceBytes = 16;
const maximumQueuedBytes = 4_194_304;

export function openMeshLink(options: MeshLinkOptions): MeshLink {
	const {socket, own, secret} = options;
	const reader = createFrameReader(maximumHandshakeFrameBytes);
	const nonce = randomBytes(nonceBytes).toString('hex');
	let state: HandshakeState = {kind: 'awaiting-hello'};
	let closeReason = 'closed by peer';

	let isCorked = false;

	const uncork = (): void => {
		isCorked = false;
		socket.uncork();
	};

	/** Combines the messages of one turn of the event loop into one write. */
	const batchWrites = (): void => {
		if (!isCorked) {
			isCorked = true;
			socket.cork();
			setImmediate(uncork);
		}
	};

	const link: MeshLink = {
		get peer() {
			return state.kind === 'ready' ? state.peer : undefined;
		},
		isDialed: options.isDialed,
		getTraffic: () => ({sent: socket.bytesWritten, received: socket.bytesRead}),
		send(message) {
			link.sendEncoded(encodeMessage(message));
		},
		sendEncoded(frame) {
			if (socket.writableLength > maximumQueuedBytes) {
				link.close('the peer reads too slowly');
				return;
			}

			batchWrites();
			socket.write(frame);
		},
		close(reason) {
			closeReason = reason;
			uncork();
			socket.destroy();
		},
	};

	const receiveHello = (message: PeerMessage): void => {
		if (message.type !== 'hello' || message.protocolVersion !== protocolVersion || message.id === own.id) {
			link.close('invalid hello message');
			return;
		}

		state = {kind: 'awaiting-proof', hello: message};
		link.send({
			type: 'proof', code: createProofCode({
				secret, ...own, ownNonce: nonce, peerNonce: message.nonce,
			}),
		});
	};

	const receiveProof = (message: PeerMessage, hello: HelloMessage): void => {
		const isProven = message.type === 'proof' && isValidProofCode(message.code, {
			secret, id: hello.id, incarnation: hello.incarnation, ownNonce: hello.nonce, peerNonce: nonce,
		});
		if (!isProven) {
			link.close('invalid proof of membership');
			return;
		}

		clearTimeout(handshakeTimer);
		socket.setTimeout(0);
		receiveTimer = setTimeout(() => {
			link.close('the peer is unresponsive');
		}, options.receiveTimeoutMilliseconds);
		reader.setLimit(maximumFrameBytes);
		state = {kind: 'ready', peer: {id: hello.id, incarnation: hello.incarnation}};
		options.onReady(link);
	};

	const receive = (frame: unknown): void => {
		const parsed = parsePeerMessage(frame);
		if (!parsed.ok) {
			link.close('unknown message');
			return;
		}

		switch (state.kind) {
			case 'awaiting-hello': {
				receiveHello(parsed.value);
				break;
			}

			case 'awaiting-proof': {
				receiveProof(parsed.value, state.hello);
				break;
			}

			case 'ready': {
				options.onMessage(link, parsed.value);
				break;
			}
		}
	};

	// Restarts only when data is received. The socket's own timeout also restarts with each write, even if the network is partitioned.
	let receiveTimer: NodeJS.Timeout | undefined;
	socket.setNoDelay(true);
	socket.setTimeout(options.handshakeTimeoutMilliseconds, () => {
		link.close('the peer is unresponsive');
	});
	const handshakeTimer = setTimeout(() => {
		link.close('handshake timed out');
	}, options.handshakeTimeoutMilliseconds);
	socket.on('data', (chunk: Uint8Array) => {
		receiveTimer?.refresh();
		const read = reader.push(chunk, frame => {
			if (!socket.destroyed) {
				receive(frame);
			}
		});
		if (!read.ok) {
			link.close(read.error);
		}
	});
	socket.on('error', error => {
		closeReason = error.message;
	});
	socket.on('close', () => {
		clearTimeout(handshakeTimer);
		clearTimeout(receiveTimer);
		options.onClosed(link, closeReason);
	});
	link.send({
		type: 'hello', protocolVersion, ...own, nonce,
	});
	return link;
}
