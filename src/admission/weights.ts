/** By how much teams count when they take turns: 1 to 2, by their guarantees. */
export function teamWeights(teams: readonly { name: string; cpus: number }[]): (team: string) => number {
  const guaranteed = teams.reduce((sum, t) => sum + t.cpus, 0);
  const of = new Map(teams.map((t) => [t.name, 1 + (guaranteed > 0 ? t.cpus / guaranteed : 0)]));
  return (team) => of.get(team) ?? 1;
}
