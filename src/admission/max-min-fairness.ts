/** Somebody who wants a part of what is scarce. */
export interface Claim {
  want: number;
  /** Of what is left beyond the floors, in proportion to others'. */
  weight: number;
  /** What it gets first, if it wants that much. */
  floor: number;
}

const tiny = 1e-9;

/**
 * Weighted max-min: floors first (all alike less if together they are too much), then the rest in proportion to the weights;
 * what one does not want goes to the others. The parts never exceed the whole.
 */
export function maxMinShares(total: number, claims: readonly Claim[]): number[] {
  const firsts = claims.map((c) => Math.max(0, Math.min(c.want, c.floor)));
  const sum = firsts.reduce((a, b) => a + b, 0);
  const scale = sum > total ? Math.max(0, total) / sum : 1;
  const parts = firsts.map((f) => f * scale);
  let left = Math.max(0, total) - parts.reduce((a, b) => a + b, 0);
  let open = claims.map((_, i) => i).filter((i) => claims[i].want > parts[i] + tiny && claims[i].weight > 0);
  while (left > tiny && open.length > 0) {
    const weights = open.reduce((a, i) => a + claims[i].weight, 0);
    // As far as the one that is satisfied first goes.
    const level = Math.min(
      left / weights,
      ...open.map((i) => (claims[i].want - parts[i]) / claims[i].weight),
    );
    for (const i of open) parts[i] += level * claims[i].weight;
    left -= level * weights;
    open = open.filter((i) => claims[i].want > parts[i] + tiny);
  }
  return parts;
}
