/** Division of the jobs that may be admitted: by team, then by class, then by the controller that receives them. */
import { burstFactor } from './member-allocation.js';
import { maxMinShares, sum } from './max-min-fairness.js';
import { workloadKey, type WorkloadDemand } from './workloads.js';

/** The jobs that a controller may admit. */
export interface AdmissionShare {
  /** Jobs per second of the workloads that the controller has reported. */
  jobsPerS: number;
  /** The rates that weight the turns of teams (`workloadKey(team, '')`) and of their classes at the controller. */
  readonly workloadRates: Map<string, number>;
}

/** The demand of one class of a team, in total and by controller. */
interface ClassDemand {
  readonly weight: number;
  total: number;
  readonly byMember: number[];
}

/** A flow whose whole demand is met, and the rates of the flows with which it takes turns at a controller. */
interface SatisfiedFlow {
  readonly member: number;
  readonly key: string;
  readonly rates: ReadonlyMap<string, number>;
}

/** Teams and classes with demand get at least this part of an equal share, regardless of their weights. */
const minEqualShare = 0.5;
/** The lowest rate by which a flow takes turns, jobs per second. */
const minRate = 0.01;
const tolerance = 1e-6;

/** Rounds down to two decimal places, which are precise enough; rounding down keeps the sum within the total. */
export const roundDown = (value: number): number => Math.floor(value * 100) / 100;

/** The intermediate state of a division: shares and rates by controller, and all satisfied flows. */
interface Division {
  readonly shares: AdmissionShare[];
  /** The rates of teams, by controller. */
  readonly teamRates: Map<string, number>[];
  readonly satisfied: SatisfiedFlow[];
}

/**
 * Divides the jobs per second that may be admitted, by weighted max-min fairness between teams and between the classes of each
 * team, with a minimum for each that has demand. `demands`: the workloads that each controller has reported.
 */
export function divideAmongWorkloads(
  jobsPerS: number,
  demands: readonly (readonly WorkloadDemand[])[],
  teamWeight: (team: string) => number,
): AdmissionShare[] {
  const teams = [...collectTeams(demands)];
  const division: Division = {
    shares: demands.map(() => ({ jobsPerS: 0, workloadRates: new Map() })),
    teamRates: demands.map(() => new Map<string, number>()),
    satisfied: [],
  };
  const jobsByTeam = divideWithEqualMinimum(
    jobsPerS,
    teams.map(([team, classes]) => ({ demand: totalDemandOf(classes), weight: teamWeight(team) })),
  );
  teams.forEach(([team, classes], t) => divideAmongClasses(division, team, classes, jobsByTeam[t]));
  const { shares, teamRates, satisfied } = division;
  teamRates.forEach((rates, member) =>
    rates.forEach((rate, key) => shares[member].workloadRates.set(key, rate)),
  );
  // A flow whose demand is met should be served at once: weighted by its own low rate, it would wait behind many other jobs.
  for (const { member, key, rates } of satisfied)
    shares[member].workloadRates.set(key, Math.max(...rates.values()));
  for (const { workloadRates } of shares)
    for (const [key, rate] of workloadRates) workloadRates.set(key, Math.max(minRate, roundDown(rate)));
  return shares;
}

/** Divides a team's jobs by class, and those of each class among the controllers that have reported it. */
function divideAmongClasses(
  { shares, teamRates, satisfied }: Division,
  team: string,
  classes: ReadonlyMap<string, ClassDemand>,
  jobsPerS: number,
): void {
  const teamKey = workloadKey(team, '');
  const classRates = shares.map(() => new Map<string, number>());
  const jobsByClass = divideWithEqualMinimum(
    jobsPerS,
    [...classes.values()].map(({ total, weight }) => ({ demand: total, weight })),
  );
  [...classes].forEach(([jobClass, { total, byMember }], c) =>
    byMember.forEach((demand, member) => {
      if (demand <= 0) return;
      const rate = (jobsByClass[c] * demand) / total;
      const key = workloadKey(team, jobClass);
      const rates = classRates[member];
      shares[member].jobsPerS += rate;
      rates.set(key, rate);
      teamRates[member].set(teamKey, (teamRates[member].get(teamKey) ?? 0) + rate);
      if (jobsByClass[c] > total - tolerance) satisfied.push({ member, key, rates });
    }),
  );
  const isSatisfied = jobsPerS > totalDemandOf(classes) - tolerance;
  classRates.forEach((rates, member) => {
    if (isSatisfied && rates.size > 0) satisfied.push({ member, key: teamKey, rates: teamRates[member] });
    for (const [key, rate] of rates) shares[member].workloadRates.set(key, rate);
  });
}

/** Sums the demand by team and class, in the order in which they are first reported. */
function collectTeams(
  demands: readonly (readonly WorkloadDemand[])[],
): Map<string, Map<string, ClassDemand>> {
  const teams = new Map<string, Map<string, ClassDemand>>();
  demands.forEach((workloads, member) => {
    for (const { team, class: jobClass, weight, jobsPerS } of workloads) {
      let classes = teams.get(team);
      if (!classes) teams.set(team, (classes = new Map<string, ClassDemand>()));
      let demand = classes.get(jobClass);
      if (!demand) classes.set(jobClass, (demand = { weight, total: 0, byMember: demands.map(() => 0) }));
      demand.total += jobsPerS * burstFactor;
      demand.byMember[member] += jobsPerS * burstFactor;
    }
  });
  return teams;
}

const totalDemandOf = (classes: ReadonlyMap<string, ClassDemand>): number =>
  sum([...classes.values()].map(({ total }) => total));

/** Divides by weighted max-min fairness with the same minimum for each claim. */
function divideWithEqualMinimum(
  total: number,
  claims: readonly { demand: number; weight: number }[],
): number[] {
  const minimum = (minEqualShare * total) / Math.max(1, claims.length);
  return maxMinShares(
    total,
    claims.map((claim) => ({ ...claim, minimum })),
  );
}
