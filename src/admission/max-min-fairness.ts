/** Weighted max-min fairness. */

/** A claim to a share of a scarce resource. */
export interface ShareClaim {
  readonly demand: number;
  /** The weight by which the claim shares in what remains after the minimums, relative to other claims. */
  readonly weight: number;
  /** The amount that the claim gets first, up to its demand. */
  readonly minimum: number;
}

const tolerance = 1e-9;

/** Returns the sum of numbers. */
export const sum = (values: readonly number[]): number => values.reduce((a, b) => a + b, 0);

/**
 * Divides `total` by weighted max-min fairness: minimums first (all scaled down equally if their sum exceeds the total), then
 * the rest in proportion to the weights. What one claim does not need goes to the others. The sum of the shares never exceeds the
 * total.
 */
export function maxMinShares(total: number, claims: readonly ShareClaim[]): number[] {
  const minimums = claims.map((claim) => Math.max(0, Math.min(claim.demand, claim.minimum)));
  const minimumSum = sum(minimums);
  const scale = minimumSum > total ? Math.max(0, total) / minimumSum : 1;
  const shares = minimums.map((minimum) => minimum * scale);
  let remaining = Math.max(0, total) - sum(shares);
  const isUnmet = (i: number): boolean => claims[i].demand > shares[i] + tolerance;
  let unmet = claims.map((_, i) => i).filter((i) => isUnmet(i) && claims[i].weight > 0);
  while (remaining > tolerance && unmet.length > 0) {
    const weightSum = sum(unmet.map((i) => claims[i].weight));
    // All unmet claims are raised together until the first one is met.
    const increment = Math.min(
      remaining / weightSum,
      ...unmet.map((i) => (claims[i].demand - shares[i]) / claims[i].weight),
    );
    for (const i of unmet) shares[i] += increment * claims[i].weight;
    remaining -= increment * weightSum;
    unmet = unmet.filter(isUnmet);
  }
  return shares;
}
