/** Conversion factors between units, shared by all packages. Each name states both units. */

export const millisecondsPerSecond = 1000;
export const millisecondsPerMinute = 60_000;
export const bytesPerMebibyte = 1_048_576;
export const nanosecondsPerMillisecond = 1_000_000;
