/**
 * The evolved champion of HELIOS (paper, appendix "Champion policy"), as pure functions: it orders work, scores machines
 * and proposes migrations. What it may not do is decided by the guardrails, outside of it.
 */

/** The weights that operators set. */
export interface ScoreWeights {
  /** Price of an interruption, per CPU-hour and unit of hazard (the paper's A). */
  readonly hazard: number;
  /** Weight of the distance of a premium job's machine from the cheapest on-demand price. */
  readonly anchor: number;
}

/** What the policy looks at of a task that is to be placed. */
export interface ScoredWork {
  readonly premium: boolean;
  readonly cpus: number;
}

/** A machine, or a machine type that could be rented, as the policy looks at it. */
export interface MachineCandidate {
  /** Price per CPU-hour. */
  readonly price: number;
  readonly spot: boolean;
  /** Probability of an interruption per hazard step. */
  readonly hazard: number;
  /** Whether the machine is not rented yet. */
  readonly needsRental: boolean;
  readonly freeCpus: number;
  /** Time until a task could start there (boot, image fetch), in minutes. */
  readonly delayMin: number;
}

// The champion's tie-break weights.
const premiumReuseBonus = 0.01;
const reuseBonus = 0.008;
const freeCpuBonus = 0.0008;
const maxCountedFreeCpus = 12;
const delayPenaltyPerMin = 0.004;

/** The urgency of a migration off a spot machine that costs more than it saves. */
const spotMigrationUrgency = 0.5;

/** Placement priority: larger goes first. */
export const placementPriority = (work: ScoredWork): number => (work.premium ? 10 : 0) + work.cpus;

/** What a machine costs per CPU-hour, with the hazard amortized. */
export const hazardAdjustedPrice = (
  candidate: Pick<MachineCandidate, 'price' | 'hazard'>,
  weights: ScoreWeights,
): number => candidate.price + weights.hazard * candidate.hazard;

/** Preference for a candidate: larger is better. `anchor` is the cheapest on-demand price per CPU-hour. */
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

/** How urgently a task should be migrated off a machine; 0: not at all. */
export const migrationUrgency = (
  candidate: Pick<MachineCandidate, 'price' | 'hazard' | 'spot'>,
  anchor: number,
  weights: ScoreWeights,
): number => (candidate.spot && hazardAdjustedPrice(candidate, weights) > anchor ? spotMigrationUrgency : 0);
