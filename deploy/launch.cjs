/**
 * Runs the bundle in the same folder with V8's code cache, which is written
 * during the build, so that a start doesn't wait for the compiler. With
 * `--write-cache` it loads the bundle and writes the cache.
 */
'use strict';
const {readFileSync, writeFileSync} = require('node:fs');
const path = require('node:path');
const process = require('node:process');
const {Script} = require('node:vm');

const bundleFile = path.join(__dirname, 'gateway.cjs');
const cacheFile = path.join(__dirname, 'gateway.cache');
const isWriting = process.argv.includes('--write-cache');

function readCache() {
	try {
		return isWriting ? undefined : readFileSync(cacheFile);
	} catch (error) {
		console.log(`level=warn event=compiled_code_unused reason=${JSON.stringify(error.message)}`);
	}
}

// The code of the bundle is ASCII, so Latin-1 reads it correctly without decoding UTF-8. Only comments contain other characters.
const source = `(function (exports, require, module) {${readFileSync(bundleFile, 'latin1')}\n})`;
const cachedData = readCache();
const script = new Script(source, {filename: bundleFile, cachedData});
if (script.cachedDataRejected) {
	console.log('level=warn event=compiled_code_unused reason="made by another version of the runtime or with other options"');
}

const bundle = {exports: {}};
script.runInThisContext()(bundle.exports, require, bundle);
if (isWriting) {
	writeFileSync(cacheFile, script.createCachedData());
} else {
	bundle.exports.run();
}
