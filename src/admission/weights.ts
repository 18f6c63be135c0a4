/** Weights of teams in fair queueing. */

/** A team's weight, from 1 to 2: by its part of all guaranteed CPUs. Of an unknown team: 1. */
export function teamWeights(teams: readonly { name: string; cpus: number }[]): (team: string) => number {
  const guaranteed = teams.reduce((sum, { cpus }) => sum + cpus, 0);
  const weights = new Map(
    teams.map(({ name, cpus }) => [name, 1 + (guaranteed > 0 ? cpus / guaranteed : 0)]),
  );
  return (team) => weights.get(team) ?? 1;
}
