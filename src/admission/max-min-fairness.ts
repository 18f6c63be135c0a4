/** Weighted max-min fairness. */

/** A claim on a part of something scarce. */
export interface ShareClaim {
  readonly demand: number;
  /** Of what is left beyond the minimums, in proportion to the others' weights. */
  readonly weight: number;
  /** What it gets first, up to its demand. */
  readonly minimum: number;
}

const tolerance = 1e-9;

/** The sum of numbers. */
export const sum = (values: readonly number[]): number => values.reduce((a, b) => a + b, 0);

/**
 * Divides `total` by weighted max-min fairness: minimums first (all scaled down alike if together they exceed the total), then
 * the rest in proportion to the weights; what one claim does not need goes to the others. The shares never exceed the total.
 */
export function maxMinShares(total: number, claims: readonly ShareClaim[]): number[] {
  const minimums = claims.map((claim) => Math.max(0, Math.min(claim.demand, claim.minimum)));
  const minimumSum = sum(minimums);
  const scale = minimumSum > total ? Math.max(0, total) / minimumSum : 1;
  const shares = minimums.map((minimum) => minimum * scale);
  let left = Math.max(0, total) - sum(shares);
  const isUnmet = (i: number): boolean => claims[i].demand > shares[i] + tolerance;
  let unmet = claims.map((_, i) => i).filter((i) => isUnmet(i) && claims[i].weight > 0);
  while (left > tolerance && unmet.length > 0) {
    const weights = sum(unmet.map((i) => claims[i].weight));
    // Raised together until the first claim is met.
    const level = Math.min(
      left / weights,
      ...unmet.map((i) => (claims[i].demand - shares[i]) / claims[i].weight),
    );
    for (const i of unmet) shares[i] += level * claims[i].weight;
    left -= level * weights;
    unmet = unmet.filter(isUnmet);
  }
  return shares;
}
