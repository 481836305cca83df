/**
 * Hands the recorded outcomes of a stopping entry over to another entry, so
 * that callers who repeat a request after a planned stop still receive its
 * outcome.
 */
import {rankMembers} from '@catkindale/common';
import type {MessageBus} from '@catkindale/kernel';
import {
	type Member, type RecordedTicket, type TicketStore, isEntryMember,
} from '@catkindale/policy';
import type {PeerMessage} from '@catkindale/protocol';
import type {TicketClock} from './idempotency-guard.js';
import type {NodeMessage} from './node-messages.js';
import type {TicketSuccessors} from './ticket-successors.js';

export type TicketHandoverOptions = {
	readonly bus: MessageBus<NodeMessage>;
	readonly node: string;
	readonly region: string;
	readonly incarnation: string;
	readonly ticketStore: TicketStore;
	readonly successors: TicketSuccessors;
	readonly ticketClock: TicketClock;
	readonly getMembers: () => readonly Member[];
};

export type TicketHandover = {
	/** Resolves with the entry that accepted the outcomes, or undefined if none did in time. */
	handOver: () => Promise<string | undefined>;
	end: () => void;
};

const acceptanceTimeoutMilliseconds = 1000;
const maximumCandidates = 2;
const maximumChunkBytes = 262_144;
const requestOverheadBytes = 512;
const ticketIdPrefix = 't1.';

export function startTicketHandover(options: TicketHandoverOptions): TicketHandover {
	const {bus, node, incarnation, ticketStore, successors, ticketClock} = options;
	let onAccepted: ((successor: string) => void) | undefined;
	/** The members with a link to this node; others may have failed although they are listed. */
	const connected = new Set<string>();
	const unsubscribers = [
		bus.subscribe('peer-disconnected', ({id}) => {
			connected.delete(id);
		}),
		bus.subscribe('peer-received', ({from, message}) => {
			connected.add(from);
			receive(from, message);
		}),
	];

	const receive = (from: string, message: PeerMessage): void => {
		if (message.type === 'ticket-handover') {
			const isComplete = successors.receive({...message, requests: message.requests.map(request => toRecordedTicket(request))});
			if (isComplete) {
				bus.publish({type: 'peer-broadcast', message: {type: 'ticket-heir', incarnation: message.incarnation, heir: node}});
			}
		} else if (message.type === 'ticket-heir' && message.heir === from) {
			successors.setSuccessor(message.incarnation, from);
			if (message.incarnation === incarnation) {
				onAccepted?.(from);
			}
		}
	};

	const offerTickets = async (candidate: string, chunks: readonly RecordedTicket[][]): Promise<boolean> => {
		const accepted = new Promise<boolean>(resolve => {
			const timer = setTimeout(resolve, acceptanceTimeoutMilliseconds, false);
			onAccepted = successor => {
				if (successor === candidate) {
					clearTimeout(timer);
					resolve(true);
				}
			};
		});
		for (const [chunkIndex, requests] of chunks.entries()) {
			bus.publish({
				type: 'peer-send',
				to: candidate,
				message: {
					type: 'ticket-handover', incarnation, clock: ticketClock(), part: chunkIndex, isLast: chunkIndex === chunks.length - 1, requests: requests.map(request => toMessage(request)),
				},
			});
		}

		return accepted;
	};

	return {
		async handOver() {
			const tickets = ticketStore.getUnexpired(ticketClock()).filter(request => request.id.startsWith(ticketIdPrefix));
			const chunks = splitIntoChunks(tickets);
			const candidates = getSuccessorCandidates(options).filter(member => connected.has(member.id)).slice(0, maximumCandidates);
			for (const candidate of candidates) {
				const isAccepted = await offerTickets(candidate.id, chunks);
				if (isAccepted) {
					return candidate.id;
				}
			}

			return undefined;
		},
		end() {
			for (const unsubscribe of unsubscribers) {
				unsubscribe();
			}
		},
	};
}

/** Returns the other live entries, those of the local region first. */
function getSuccessorCandidates({node, region, incarnation, getMembers}: TicketHandoverOptions): Member[] {
	const others = getMembers().filter(member => member.id !== node && member.state === 'live' && isEntryMember(member));
	const ranked = rankMembers(incarnation, others);
	return [...ranked.filter(member => member.region === region), ...ranked.filter(member => member.region !== region)];
}

/** Returns at least one chunk: without recorded tickets, an empty chunk states that no request ran. */
function splitIntoChunks(requests: readonly RecordedTicket[]): RecordedTicket[][] {
	const chunks: RecordedTicket[][] = [[]];
	let bytes = 0;
	for (const request of requests) {
		const size = getTicketBytes(request);
		if (bytes + size > maximumChunkBytes) {
			chunks.push([]);
			bytes = 0;
		}

		chunks.at(-1)!.push(request);
		bytes += size;
	}

	return chunks;
}

function getTicketBytes({outcome}: RecordedTicket): number {
	return requestOverheadBytes + (outcome.kind === 'ran' ? (outcome.answer.body?.length ?? 0) + outcome.answer.headers.join('').length : 0);
}

type MessageRequest = Omit<RecordedTicket, 'outcome'> & {
	readonly outcome: {kind: 'unknown'} | {kind: 'ran'; answer: {status: number; headers: string[]; body?: Uint8Array | undefined}};
};

function toMessage({outcome, ...claim}: RecordedTicket): MessageRequest {
	return {...claim, outcome: outcome.kind === 'ran' ? {kind: 'ran', answer: {...outcome.answer, headers: [...outcome.answer.headers]}} : {kind: 'unknown'}};
}

function toRecordedTicket({outcome, ...claim}: MessageRequest): RecordedTicket {
	return {...claim, outcome: outcome.kind === 'ran' ? {kind: 'ran', answer: {...outcome.answer, body: outcome.answer.body}} : {kind: 'unknown'}};
}
