/** Requests for the tests of the fair queue and of the admission to targets. */
import type {AdmissionRequest} from '@catkindale/policy';

export type TestRequest = AdmissionRequest & {readonly id: string};

/** A request from text such as `a1`: customer `a`, first request. */
export function createRequest(id: string, change: Partial<TestRequest> = {}): TestRequest {
	return {
		id, customer: id.slice(0, 1), weight: 1, class: 'interactive', queuedAt: 0, deadlineAt: 1000, excluded: new Set(), ...change,
	};
}
