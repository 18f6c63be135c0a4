/** Random numbers that a seed reproduces. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Numbers from 0 (included) to 1 (excluded). Passed in where random numbers are needed, so that the core is deterministic. */
export type Random = () => number;

/** A generator that gives the same numbers for the same seed. */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
