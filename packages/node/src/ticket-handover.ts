/**
 * Hands the remembered outcomes of a stopping entry to a neighbour, so that
 * callers who repeat a request after a planned stop still learn its outcome.
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
	readonly memory: TicketStore;
	readonly successors: TicketSuccessors;
	readonly ticketClock: TicketClock;
	readonly getMembers: () => readonly Member[];
};

export type TicketHandover = {
	/** Resolves with the neighbour that took the outcomes, or undefined if none did in time. */
	handOver: () => Promise<string | undefined>;
	end: () => void;
};

const acceptanceMilliseconds = 1000;
const maximumNeighboursAsked = 2;
const partBytes = 262_144;
const requestOverheadBytes = 512;
const ticketIdPrefix = 't1.';

export function startTicketHandover(options: TicketHandoverOptions): TicketHandover {
	const {bus, node, incarnation, memory, successors: heirs, ticketClock} = options;
	let onAccepted: ((heir: string) => void) | undefined;
	/** The members that have a link to this node; others may be dead though they are listed. */
	const connected = new Set<string>();
	const endings = [
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
			const isWhole = heirs.receive({...message, requests: message.requests.map(request => toRemembered(request))});
			if (isWhole) {
				bus.publish({type: 'peer-broadcast', message: {type: 'ticket-heir', incarnation: message.incarnation, heir: node}});
			}
		} else if (message.type === 'ticket-heir' && message.heir === from) {
			heirs.setSuccessor(message.incarnation, from);
			if (message.incarnation === incarnation) {
				onAccepted?.(from);
			}
		}
	};

	const offer = async (neighbour: string, parts: readonly RecordedTicket[][]): Promise<boolean> => {
		const accepted = new Promise<boolean>(resolve => {
			const timer = setTimeout(resolve, acceptanceMilliseconds, false);
			onAccepted = heir => {
				if (heir === neighbour) {
					clearTimeout(timer);
					resolve(true);
				}
			};
		});
		for (const [part, requests] of parts.entries()) {
			bus.publish({
				type: 'peer-send',
				to: neighbour,
				message: {
					type: 'ticket-handover', incarnation, clock: ticketClock(), part, isLast: part === parts.length - 1, requests: requests.map(request => toMessage(request)),
				},
			});
		}

		return accepted;
	};

	return {
		async handOver() {
			const remembered = memory.getUnexpired(ticketClock()).filter(request => request.id.startsWith(ticketIdPrefix));
			const parts = splitIntoParts(remembered);
			const neighbours = getNeighbours(options).filter(member => connected.has(member.id)).slice(0, maximumNeighboursAsked);
			for (const neighbour of neighbours) {
				const isAccepted = await offer(neighbour.id, parts);
				if (isAccepted) {
					return neighbour.id;
				}
			}

			return undefined;
		},
		end() {
			for (const end of endings) {
				end();
			}
		},
	};
}

/** The other live members, those of the own region first. */
function getNeighbours({node, region, incarnation, getMembers}: TicketHandoverOptions): Member[] {
	const others = getMembers().filter(member => member.id !== node && member.state === 'live' && isEntryMember(member));
	const ranked = rankMembers(incarnation, others);
	return [...ranked.filter(member => member.region === region), ...ranked.filter(member => member.region !== region)];
}

/** At least one part, also when nothing is remembered: it says that nothing else ran. */
function splitIntoParts(requests: readonly RecordedTicket[]): RecordedTicket[][] {
	const parts: RecordedTicket[][] = [[]];
	let bytes = 0;
	for (const request of requests) {
		const size = getSize(request);
		if (bytes + size > partBytes) {
			parts.push([]);
			bytes = 0;
		}

		parts.at(-1)!.push(request);
		bytes += size;
	}

	return parts;
}

function getSize({outcome}: RecordedTicket): number {
	return requestOverheadBytes + (outcome.kind === 'ran' ? (outcome.answer.body?.length ?? 0) + outcome.answer.headers.join('').length : 0);
}

type MessageRequest = Omit<RecordedTicket, 'outcome'> & {
	readonly outcome: {kind: 'unknown'} | {kind: 'ran'; answer: {status: number; headers: string[]; body?: Uint8Array | undefined}};
};

function toMessage({outcome, ...claim}: RecordedTicket): MessageRequest {
	return {...claim, outcome: outcome.kind === 'ran' ? {kind: 'ran', answer: {...outcome.answer, headers: [...outcome.answer.headers]}} : {kind: 'unknown'}};
}

function toRemembered({outcome, ...claim}: MessageRequest): RecordedTicket {
	return {...claim, outcome: outcome.kind === 'ran' ? {kind: 'ran', answer: {...outcome.answer, body: outcome.answer.body}} : {kind: 'unknown'}};
}
