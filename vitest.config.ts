import type {ViteUserConfig} from 'vitest/config';

const packageNames = ['common', 'kernel', 'policy', 'protocol', 'platform', 'node', 'standins', 'cli'];

const alias = Object.fromEntries(packageNames.map(name => [
	`@catkindale/${name}`,
	new URL(`packages/${name}/src/index.ts`, import.meta.url).pathname,
]));

const configuration: ViteUserConfig = {
	resolve: {alias},
	test: {
		include: ['packages/*/tests/**/*.test.ts'],
		testTimeout: 30_000,
		hookTimeout: 30_000,
	},
};

export default configuration;
