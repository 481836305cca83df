import {expect, test} from 'vitest';
import {Registry} from 'prom-client';
import {createManualClock, createSilentLogger} from '@catkindale/common';
import {createMeshAdmission} from '../src/mesh-admission.js';

const limits = {perAddress: 2, total: 3};

function createAdmission(): {admission: ReturnType<typeof createMeshAdmission>; metrics: Registry} {
	const metrics = new Registry();
	return {admission: createMeshAdmission({clock: createManualClock(), logger: createSilentLogger(), metrics}, limits), metrics};
}

test.each<{name: string; steps: ReadonlyArray<readonly ['admit' | 'release', string]>; admitted: readonly boolean[]}>([
	{name: 'so many of one address', steps: [['admit', 'a'], ['admit', 'a'], ['admit', 'a']], admitted: [true, true, false]},
	{name: 'so many in all', steps: [['admit', 'a'], ['admit', 'b'], ['admit', 'c'], ['admit', 'd']], admitted: [true, true, true, false]},
	{name: 'one more after an end', steps: [['admit', 'a'], ['admit', 'a'], ['release', 'a'], ['admit', 'a'], ['admit', 'a']], admitted: [true, true, true, false]},
	{name: 'others while one address is full', steps: [['admit', 'a'], ['admit', 'a'], ['admit', 'a'], ['admit', 'b']], admitted: [true, true, false, true]},
])('connections without proof are let in: $name', async ({steps, admitted}) => {
	const {admission, metrics} = createAdmission();
	const results: boolean[] = [];
	for (const [step, address] of steps) {
		if (step === 'admit') {
			results.push(admission.admit(address));
		} else {
			admission.release(address);
		}
	}

	expect(results).toEqual(admitted);
	const refused = admitted.filter(isAdmitted => !isAdmitted).length;
	expect(await metrics.metrics()).toContain(`catkindale_peer_connections_refused_total ${refused}`);
});
