/** Time to rank all members for one key by rendezvous hashing, by number of members. */
import {rankMembers} from '@catkindale/common';
import {registerBench} from './bench-registry.js';

const memberCounts = [12, 48, 96];
const rounds = 2000;

registerBench({
	name: 'rendezvous',
	describe: 'time of one rendezvous ranking by number of members',
	async run({print}) {
		for (const count of memberCounts) {
			const members = Array.from({length: count}, (_, index) => ({id: `member-${index}`}));
			const startedAt = performance.now();
			for (let round = 0; round < rounds; round++) {
				rankMembers(`key-${round}`, members);
			}

			const microseconds = (performance.now() - startedAt) * 1000 / rounds;
			print(`${count} members: ${microseconds.toFixed(1)} microseconds`);
		}

		return true;
	},
});
