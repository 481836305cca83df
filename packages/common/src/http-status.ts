/** The status codes of HTTP: others are invalid, and clients differ in what they make of them. */

const minimumStatus = 100;
export const minimumFinalStatus = 200;
export const maximumStatus = 599;

export function isValidStatus(status: number): boolean {
	return Number.isInteger(status) && status >= minimumStatus && status <= maximumStatus;
}

/** Whether another head follows that of the response. */
export function isInterimStatus(status: number): boolean {
	return isValidStatus(status) && status < minimumFinalStatus;
}
