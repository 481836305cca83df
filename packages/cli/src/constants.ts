/** Exit codes of the command line. */

export const exitCodes = {done: 0, failed: 1, usage: 2} as const;
