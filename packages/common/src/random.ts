/** Seeded random numbers, so that every randomised run can be repeated. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

export type Random = {
	/** A whole number between both bounds, both included. */
	integer: (minimum: number, maximum: number) => number;
	/** A number from 0 up to, but without, 1. */
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
