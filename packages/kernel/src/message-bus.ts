/**
 * Message bus within one process: tasks publish typed messages and subscribe
 * to the types they need. Delivery is synchronous and in order.
 */

export type Message = {readonly type: string};

export type MessageBus<Messages extends Message> = {
	publish: (message: Messages) => void;
	/** Returns a function that ends the subscription. */
	subscribe: <Kind extends Messages['type']>(
		type: Kind,
		receive: (message: Extract<Messages, {type: Kind}>) => void,
	) => () => void;
};

export function createMessageBus<Messages extends Message>(): MessageBus<Messages> {
	const subscribersByType = new Map<string, Set<(message: Messages) => void>>();
	return {
		publish(message) {
			for (const receive of subscribersByType.get(message.type) ?? []) {
				receive(message);
			}
		},
		subscribe(type, receive) {
			const subscribers = subscribersByType.get(type) ?? new Set();
			subscribersByType.set(type, subscribers);
			const receiveAny = receive as (message: Messages) => void;
			subscribers.add(receiveAny);
			return () => {
				subscribers.delete(receiveAny);
			};
		},
	};
}
