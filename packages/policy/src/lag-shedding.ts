/**
 * Sheds requests at a gateway whose processor is used up. What it reads has
 * waited about as long as its event loop is late; callers give up after a
 * third of their time, so that passing such requests on is work for nobody.
 * Less urgent ones are refused first, which leaves the processor to the rest.
 */

/** A caller with a deadline of a second gives up after a third of it. */
const shedFromMilliseconds = 200;
/** The most urgent requests are kept up to this much more. */
const urgentMarginMilliseconds = 250;
const leastUrgentPriority = 2;

/** Whether a request of the priority (0 is the most urgent) is refused while the event loop is so late. */
export function shouldShedOnLag(lateMilliseconds: number, priority: number): boolean {
	const urgency = Math.max(0, leastUrgentPriority - priority) / leastUrgentPriority;
	return lateMilliseconds > shedFromMilliseconds + (urgency * urgentMarginMilliseconds);
}
