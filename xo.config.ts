import {type FlatXoConfig} from 'xo';

const configuration: FlatXoConfig = [
	{ignores: ['**/dist/**', 'coverage/**', 'target/**']},
	{
		files: ['**/*.ts'],
		languageOptions: {parserOptions: {projectService: false, project: ['tsconfig.tests.json']}},
	},
	{
		rules: {
			// Types of messages are literals in kebab case, as in rows and frames.
			'@typescript-eslint/naming-convention': 'off',
			// Plug-ins, actions and drivers register themselves when their module is loaded.
			'import-x/no-unassigned-import': 'off',
			// Values of type unknown or any from libraries are narrowed where they are received.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// Sequential steps are awaited in a loop.
			'no-await-in-loop': 'off',
			// JSON and the interfaces of the platform use null.
			'@typescript-eslint/no-restricted-types': 'off',
			'unicorn/no-null': 'off',
			// The state of a task is changed in place, and only by that task.
			'require-atomic-updates': 'off',
			// The automatic fix breaks strings that contain line breaks.
			'unicorn/prefer-string-raw': 'off',
			// Commands exit with a status code.
			'unicorn/no-process-exit': 'off',
		},
	},
	{
		// Addresses are handled as bits of integers, and columns of them are traversed without iterators.
		files: ['packages/policy/src/{address,client}-*.ts', 'packages/cli/src/bench-client-blocks.ts'],
		rules: {
			'no-bitwise': 'off',
			'unicorn/no-for-loop': 'off',
			'@typescript-eslint/prefer-for-of': 'off',
		},
	},
	{
		// Test dependencies are declared in the workspace root, dependencies of the bundle in the workspaces.
		files: ['packages/*/tests/**/*.ts', 'platform/tests/**/*.ts', 'deploy/*.mjs'],
		rules: {
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
		},
	},
];

export default configuration;
