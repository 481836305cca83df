/**
 * Bundles the gateway program for entry VMs into `target/` or the given folder.
 * Callers wait while a process restarts, and each module that it loads makes
 * the start slower.
 */
import {copyFileSync, mkdirSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

const workspaces = ['common', 'kernel', 'node', 'policy', 'ports', 'protocol'];

/**
 * Replacements for the main modules of these libraries, which also load code
 * that a gateway never uses: fetch, web sockets, a cache store and the metrics
 * push gateway.
 */
const usedParts = {
	undici: `
		import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
		import api from 'undici/lib/api/index.js';
		Object.assign(Dispatcher.prototype, api);
		export {default as Client} from 'undici/lib/dispatcher/client.js';
		export {default as Pool} from 'undici/lib/dispatcher/pool.js';
		export {default as Agent} from 'undici/lib/dispatcher/agent.js';
		export {default as buildConnector} from 'undici/lib/core/connect.js';
	`,
	/** Targets support only HTTP/1.1, and loading HTTP/2 takes as long as the rest of the client. */
	'./client-h2.js': 'export default undefined;',
	'prom-client': `
		export {default as Registry} from 'prom-client/lib/registry.js';
		export {default as Counter} from 'prom-client/lib/counter.js';
		export {default as Gauge} from 'prom-client/lib/gauge.js';
		export {default as Histogram} from 'prom-client/lib/histogram.js';
	`,
};

/** The filters of esbuild are regular expressions of Go, which don't support the flags that the lint rule requires. */
const loadUsedParts = {
	name: 'used-parts',
	setup({onResolve, onLoad}) {
		// eslint-disable-next-line require-unicode-regexp
		onResolve({filter: /^(?:undici|prom-client|\.\/client-h2\.js)$/}, ({path: library}) => ({path: library, namespace: 'used-parts'}));
		// eslint-disable-next-line require-unicode-regexp
		onLoad({filter: /.*/, namespace: 'used-parts'}, ({path: library}) => ({contents: usedParts[library], resolveDir: process.cwd()}));
	},
};

const folder = process.argv[2] ?? 'target';
mkdirSync(folder, {recursive: true});
copyFileSync('deploy/launch.cjs', path.join(folder, 'catkindale.cjs'));
await build({
	entryPoints: ['platform/src/main.ts'],
	inject: ['deploy/parse-without-compiling.mjs'],
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	outfile: path.join(folder, 'gateway.cjs'),
	logLevel: 'warning',
	alias: Object.fromEntries(workspaces.map(name => [`@catkindale/${name}`, path.resolve(`packages/${name}/src/index.ts`)])),
	plugins: [loadUsedParts],
});
