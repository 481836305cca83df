/** Limits on connections whose peer hasn't proved its membership. */
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
	{name: 'up to the limit per address', steps: [['admit', 'a'], ['admit', 'a'], ['admit', 'a']], admitted: [true, true, false]},
	{name: 'up to the total limit', steps: [['admit', 'a'], ['admit', 'b'], ['admit', 'c'], ['admit', 'd']], admitted: [true, true, true, false]},
	{name: 'another one after a release', steps: [['admit', 'a'], ['admit', 'a'], ['release', 'a'], ['admit', 'a'], ['admit', 'a']], admitted: [true, true, true, false]},
	{name: 'other addresses while one is at its limit', steps: [['admit', 'a'], ['admit', 'a'], ['admit', 'a'], ['admit', 'b']], admitted: [true, true, false, true]},
])('connections without a proof are admitted: $name', async ({steps, admitted}) => {
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
