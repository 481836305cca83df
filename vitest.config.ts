import type {ViteUserConfig} from 'vitest/config';

const packageNames = ['common', 'kernel', 'policy', 'protocol', 'ports', 'node', 'standins', 'cli'];

const alias = Object.fromEntries(packageNames.map(name => [
	`@catkindale/${name}`,
	new URL(`packages/${name}/src/index.ts`, import.meta.url).pathname,
]));

alias['@catkindale/platform'] = new URL('platform/src/index.ts', import.meta.url).pathname;

const configuration: ViteUserConfig = {
	resolve: {alias},
	test: {
		testTimeout: 30_000,
		hookTimeout: 30_000,
		projects: [
			{
				extends: true,
				test: {
					name: 'units',
					include: ['packages/*/tests/**/*.test.ts', 'platform/tests/**/*.test.ts'],
					exclude: ['packages/cli/tests/**'],
				},
			},
			{
				extends: true,
				// Each of these files starts dozens of processes, so they run one at a time and have the machine to themselves.
				test: {
					name: 'processes',
					include: ['packages/cli/tests/**/*.test.ts'],
					fileParallelism: false,
					sequence: {groupOrder: 1},
				},
			},
		],
	},
};

export default configuration;
