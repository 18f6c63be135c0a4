/** Random numbers that are reproducible from a seed. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Returns random numbers in [0, 1). Passed in where random numbers are needed, so that the core is deterministic. */
export type Random = () => number;

/** Creates a generator that returns the same numbers for the same seed. */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
