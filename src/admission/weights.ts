/** Weights of teams in fair queueing. */

/** Returns a function that gives a team's weight: from 1 to 2 by its share of all guaranteed CPUs, 1 for an unknown team. */
export function teamWeights(teams: readonly { name: string; cpus: number }[]): (team: string) => number {
  const guaranteed = teams.reduce((sum, { cpus }) => sum + cpus, 0);
  const weights = new Map(
    teams.map(({ name, cpus }) => [name, 1 + (guaranteed > 0 ? cpus / guaranteed : 0)]),
  );
  return (team) => weights.get(team) ?? 1;
}
