/**
 * Lets schemas check values as they are. By default each compiles a function of
 * its own when it is first used: a tenth of a node's start, which pays only for
 * what is checked thousands of times a second. Runs before all other modules,
 * since a schema asks for this when it is made.
 */
import {config} from 'zod';

config({jitless: true});
