/**
 * The placement policy: the best policy that HELIOS evolved (see the paper's appendix "Champion policy"), as pure functions that
 * order jobs, score machines and propose migrations. The guardrails, in modules of their own, decide which proposals are allowed.
 */

/** The weights of the score, set by the operators. */
export interface ScoreWeights {
  /** The cost of an interruption, per CPU-hour and unit of hazard (the paper's A). */
  readonly hazard: number;
  /** The weight of the difference between the price of a premium job's machine and the cheapest on-demand price. */
  readonly anchor: number;
}

/** The properties of a task to be placed that the policy considers. */
export interface ScoredWork {
  readonly premium: boolean;
  readonly cpus: number;
}

/** The properties that the policy considers of a machine, or of a machine type that could be rented. */
export interface MachineCandidate {
  /** The price per CPU-hour. */
  readonly price: number;
  readonly spot: boolean;
  /** The probability of an interruption within one hazard step. */
  readonly hazard: number;
  /** Whether the machine is not rented yet. */
  readonly needsRental: boolean;
  readonly freeCpus: number;
  /** The time until a task could start there (boot and image fetch), in minutes. */
  readonly delayMin: number;
}

// The tie-break weights of the HELIOS champion.
const premiumReuseBonus = 0.01;
const reuseBonus = 0.008;
const freeCpuBonus = 0.0008;
const maxCountedFreeCpus = 12;
const delayPenaltyPerMin = 0.004;

/** The urgency of a migration off a spot machine whose hazard-adjusted price exceeds the on-demand price. */
const spotMigrationUrgency = 0.5;

/** The placement priority of a task; higher priorities are placed first. */
export const placementPriority = (work: ScoredWork): number => (work.premium ? 10 : 0) + work.cpus;

/** The price of a machine per CPU-hour, including the amortized hazard. */
export const hazardAdjustedPrice = (
  candidate: Pick<MachineCandidate, 'price' | 'hazard'>,
  weights: ScoreWeights,
): number => candidate.price + weights.hazard * candidate.hazard;

/** The score of a candidate for a task; higher is better. `anchor` is the cheapest on-demand price per CPU-hour. */
export function placementScore(
  work: ScoredWork,
  candidate: MachineCandidate,
  anchor: number,
  weights: ScoreWeights,
): number {
  let total: number;
  if (work.premium) {
    total = -candidate.price - weights.anchor * Math.abs(candidate.price - anchor);
    if (!candidate.needsRental) total += premiumReuseBonus;
  } else {
    total = -hazardAdjustedPrice(candidate, weights);
    total += candidate.needsRental
      ? freeCpuBonus * Math.min(candidate.freeCpus, maxCountedFreeCpus)
      : reuseBonus;
  }
  return total - delayPenaltyPerMin * candidate.delayMin;
}

/** How urgently a task should be migrated off a machine; 0 means not at all. */
export const migrationUrgency = (
  candidate: Pick<MachineCandidate, 'price' | 'hazard' | 'spot'>,
  anchor: number,
  weights: ScoreWeights,
): number => (candidate.spot && hazardAdjustedPrice(candidate, weights) > anchor ? spotMigrationUrgency : 0);
