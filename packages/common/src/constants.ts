/** Conversion factors between units, whose names state both, and limits, shared by all packages. */

export const millisecondsPerSecond = 1000;
export const millisecondsPerMinute = 60_000;
export const bytesPerMebibyte = 1_048_576;
export const nanosecondsPerMillisecond = 1_000_000;
/** Longer times are cut to this one before a timer waits for them; a timer with more than 2^31 ms ends at once. */
export const maximumTimerMilliseconds = 1_000_000_000;
