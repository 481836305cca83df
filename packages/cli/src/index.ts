/** The catkindale command, as a library. */
export {commands} from './commands.js';
