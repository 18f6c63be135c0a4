import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Numbers from 0 (included) to 1 (excluded). Given to whoever needs some, so that the core stays deterministic. */
export type Random = () => number;

export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
