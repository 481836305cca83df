/**
 * Parses client blocks from lines of text, as exported from an address plan:
 * a prefix, then its sites, each with a weight unless it is 1, for example
 * `10.1.0.0/16 oslo=3 bergen`. Empty lines and comments after `#` are ignored.
 */
import {type Result, fail, succeed} from '@catkindale/common';
import {type SiteChange, type SiteWeight, parseSiteChange} from './client-block-table.js';

/** An error in the text, with its line counted from 1. */
export type ClientBlockIssue = {readonly line: number; readonly reason: string};

/** All blocks of the text, or all its errors. */
export function parseClientBlockText(text: string): Result<SiteChange[], ClientBlockIssue[]> {
	const changes: SiteChange[] = [];
	const issues: ClientBlockIssue[] = [];
	const lineOfPrefix = new Map<string, number>();
	for (const [index, content] of text.split('\n').entries()) {
		const [prefix, ...sites] = content.split('#', 1)[0]!.split(/\s+/v).filter(word => word !== '');
		if (prefix === undefined) {
			continue;
		}

		const line = index + 1;
		const change = parseLine(prefix, sites);
		if (!change.ok) {
			issues.push({line, reason: change.error});
			continue;
		}

		const key = JSON.stringify(change.value.prefix);
		const first = lineOfPrefix.get(key);
		if (first !== undefined) {
			issues.push({line, reason: `the block "${prefix}" is in line ${first} already`});
			continue;
		}

		lineOfPrefix.set(key, line);
		changes.push(change.value);
	}

	return issues.length > 0 ? fail(issues) : succeed(changes);
}

function parseLine(prefix: string, words: readonly string[]): Result<SiteChange, string> {
	if (words.length === 0) {
		return fail(`the block "${prefix}" has no site`);
	}

	const sites: SiteWeight[] = [];
	for (const word of words) {
		const [site, weightText = '1', ...rest] = word.split('=');
		const weight = Number(weightText);
		if (!site || rest.length > 0 || weightText === '' || !Number.isFinite(weight) || weight <= 0) {
			return fail(`"${word}" is no site with a weight above 0, as in "oslo=3"`);
		}

		sites.push({site, weight});
	}

	return parseSiteChange(prefix, sites);
}
