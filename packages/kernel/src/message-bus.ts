/**
 * The message bus of one process: tasks publish typed messages and subscribe
 * to the kinds they need. Delivery is synchronous and in order.
 */

export type Message = {readonly type: string};

export type MessageBus<Messages extends Message> = {
	publish: (message: Messages) => void;
	/** Returns the function that ends the subscription. */
	subscribe: <Kind extends Messages['type']>(
		type: Kind,
		receive: (message: Extract<Messages, {type: Kind}>) => void,
	) => () => void;
};

export function createMessageBus<Messages extends Message>(): MessageBus<Messages> {
	const receivers = new Map<string, Set<(message: Messages) => void>>();
	return {
		publish(message) {
			for (const receive of receivers.get(message.type) ?? []) {
				receive(message);
			}
		},
		subscribe(type, receive) {
			const known = receivers.get(type) ?? new Set();
			receivers.set(type, known);
			const receiveAny = receive as (message: Messages) => void;
			known.add(receiveAny);
			return () => {
				known.delete(receiveAny);
			};
		},
	};
}
