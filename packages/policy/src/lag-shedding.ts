/**
 * Sheds requests at a gateway whose processor is saturated. A request has waited
 * about as long as the event loop lags when the gateway reads it. Callers give
 * up after a third of their deadline, so forwarding such requests is wasted
 * work. Less urgent requests are refused first, which leaves the processor to
 * the others.
 */

/** Lag above which the least urgent requests are refused; a caller with a deadline of one second gives up after a third of it. */
const minimumLagMilliseconds = 200;
/** Additional lag up to which the most urgent requests are accepted. */
const urgentMarginMilliseconds = 250;
const lowestPriority = 2;

/** Returns whether a request of the given priority (0 is the most urgent) is refused at the given event loop lag. */
export function shouldShedOnLag(lagMilliseconds: number, priority: number): boolean {
	const urgency = Math.max(0, lowestPriority - priority) / lowestPriority;
	return lagMilliseconds > minimumLagMilliseconds + (urgency * urgentMarginMilliseconds);
}
