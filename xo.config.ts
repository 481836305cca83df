import {type FlatXoConfig} from 'xo';

const configuration: FlatXoConfig = [
	{ignores: ['**/dist/**', 'coverage/**', 'target/**']},
	{
		files: ['**/*.ts'],
		languageOptions: {parserOptions: {projectService: false, project: ['tsconfig.tests.json']}},
	},
	{
		rules: {
			// A message names its kind in kebab case, as a row or a frame does.
			'@typescript-eslint/naming-convention': 'off',
			// Plug-ins, actions and drivers register themselves when their module is loaded.
			'import-x/no-unassigned-import': 'off',
			// What a library gives as unknown or any is narrowed where it comes in.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// Steps that must happen one after the other are awaited in a loop.
			'no-await-in-loop': 'off',
			// The interfaces of the platform and of JSON use null.
			'@typescript-eslint/no-restricted-types': 'off',
			'unicorn/no-null': 'off',
			// Task state belongs to one task and is changed in place by it alone.
			'require-atomic-updates': 'off',
			// Its automatic fix breaks strings with line ends.
			'unicorn/prefer-string-raw': 'off',
			// Commands end with their exit code.
			'unicorn/no-process-exit': 'off',
		},
	},
	{
		// Addresses are words of bits, and their columns are walked without iterators.
		files: ['packages/policy/src/{address,client}-*.ts', 'packages/cli/src/bench-client-blocks.ts'],
		rules: {
			'no-bitwise': 'off',
			'unicorn/no-for-loop': 'off',
			'@typescript-eslint/prefer-for-of': 'off',
		},
	},
	{
		// The workspace root brings what all tests share, and the workspaces what the bundle holds.
		files: ['packages/*/tests/**/*.ts', 'platform/tests/**/*.ts', 'deploy/*.mjs'],
		rules: {
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
		},
	},
];

export default configuration;
