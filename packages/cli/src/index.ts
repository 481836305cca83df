/** The commands of the catkindale command line, for use as a library. */
export {commands} from './commands.js';
