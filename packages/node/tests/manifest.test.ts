/** A manifest is checked as a whole, and each issue names its line. */
import {readFile} from 'node:fs/promises';
import {describe, expect, test} from 'vitest';
import {formatManifestIssue, parseManifest} from '@catkindale/node';

const valid = `[[regions]]
name = "oslo"
zones = ["oslo-a"]
[[customers]]
name = "wideroe"
rate = 4
burst = 1
[[services]]
name = "pricing"
version = "1"
[[targets]]
name = "pricing-1"
service = "pricing"
version = "1"
region = "oslo"
zone = "oslo-a"
address = "127.0.0.1:80"
slots = 1
`;

describe('a manifest', () => {
	test.each([
		{
			name: 'a rate below zero', from: 'rate = 4', to: 'rate = -4', issue: 'line 6: customers.0.rate: ',
		},
		{
			name: 'an unknown field', from: 'slots = 1', to: 'slots = 1\ncolour = "red"', issue: 'line 11: targets.0: Unrecognized key',
		},
		{
			name: 'an unknown zone', from: 'zone = "oslo-a"', to: 'zone = "oslo-b"', issue: 'line 16: targets.0.zone: there is no zone "oslo-b"',
		},
		{
			name: 'a name for an address', from: '127.0.0.1:80', to: 'oslo:80', issue: 'line 17: targets.0.address: ',
		},
		{
			name: 'an unknown service', from: 'service = "pricing"', to: 'service = "prices"', issue: 'line 13: targets.0.service: "prices" isn\'t declared; declared are: pricing',
		},
		{
			name: 'broken TOML', from: 'burst = 1', to: 'burst = ', issue: 'line 7: TOML: ',
		},
		{
			name: 'no regions', from: '[[regions]]', to: '[[places]]', issue: 'regions: ',
		},
		{
			name: 'a missing field', from: 'burst = 1\n', to: '', issue: 'line 4: customers.0.burst: ',
		},
	])('with $name is refused with the line of the issue', ({from, to, issue}) => {
		const parsed = parseManifest(valid.replace(from, to));
		expect(parsed.ok ? [] : parsed.error.map(fault => formatManifestIssue(fault)).join('\n')).toContain(issue);
	});

	test.each(['fjordvik', 'schulessen'])('of the %s example has no issues', async name => {
		const file = new URL(`../../../examples/${name}/manifest.toml`, import.meta.url);
		const parsed = parseManifest(await readFile(file, 'utf8'));
		expect(parsed).toMatchObject({ok: true, value: {targets: {length: 44}, customers: {length: 8}}});
	});
});
