/**
 * Disables the compilation of zod schemas. By default each schema compiles a
 * validation function when it is first used. That takes a tenth of a node's
 * start time and pays off only for values that are validated thousands of times
 * a second. This module must run before all others, because a schema reads the
 * setting when it is created.
 */
import {config} from 'zod';

config({jitless: true});
