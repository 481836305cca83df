/** Seeded random numbers, which make randomised runs reproducible. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

export type Random = {
	/** Returns an integer between both bounds, inclusive. */
	integer: (minimum: number, maximum: number) => number;
	/** Returns a number from 0 (inclusive) to 1 (exclusive). */
	fraction: () => number;
};

const fractionSteps = 0x7F_FF_FF_FF;

export function createRandom(seed: number): Random {
	const generator = xoroshiro128plus(seed);
	return {
		integer: (minimum, maximum) => uniformInt(generator, minimum, maximum),
		fraction: () => uniformInt(generator, 0, fractionSteps - 1) / fractionSteps,
	};
}
