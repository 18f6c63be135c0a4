/** Jain's fairness index. */

/** Returns Jain's fairness index: 1 if all shares are equal, 1/n if one of n has everything. */
export function jainIndex(shares: readonly number[]): number {
  const sum = shares.reduce((a, b) => a + b, 0);
  const squares = shares.reduce((a, b) => a + b * b, 0);
  return squares > 0 ? (sum * sum) / (shares.length * squares) : 1;
}
