/** All commands in the order in which `--help` lists them. */
import type {CommandModule} from 'yargs';
import {applyCommand} from './apply-command.js';
import {benchCommand} from './bench-command.js';
import {blocksCommand} from './blocks-command.js';
import {checkCommand} from './check-command.js';
import {demoCommand} from './demo-command.js';
import {diffCommand} from './diff-command.js';
import {drainCommand} from './drain-command.js';
import {keyCommand} from './key-command.js';
import {nodeCommand} from './node-command.js';
import {rolloutCommand} from './rollout-command.js';
import {standinCommand} from './standin-command.js';
import {statusCommand} from './status-command.js';
import {verifyCommand} from './verify-command.js';
import {watchCommand} from './watch-command.js';

export const commands = [
	nodeCommand,
	applyCommand,
	checkCommand,
	diffCommand,
	statusCommand,
	rolloutCommand,
	watchCommand,
	keyCommand,
	drainCommand,
	blocksCommand,
	demoCommand,
	benchCommand,
	verifyCommand,
	standinCommand,
] as CommandModule[];
