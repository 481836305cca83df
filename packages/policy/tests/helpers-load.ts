/** Requests for the tests of the fair queue and of target admission. */
import type {AdmissionRequest} from '@catkindale/policy';

export type TestRequest = AdmissionRequest & {readonly id: string};

/** Creates a request from an identifier such as `a1`: the first request of customer `a`. */
export function createRequest(id: string, change: Partial<TestRequest> = {}): TestRequest {
	return {
		id, customer: id.slice(0, 1), weight: 1, class: 'interactive', queuedAt: 0, deadlineAt: 1000, excluded: new Set(), ...change,
	};
}
