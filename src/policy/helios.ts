/**
 * The evolved champion of HELIOS (paper, appendix "Champion policy"), as a pure policy: it orders, scores
 * and asks to move. What it may not do is decided by the guardrails, outside of it.
 */
export interface ScoreWeights {
  /** A: price of an interruption, per CPU-hour and unit of hazard. */
  hazard: number;
  /** Weight of a premium machine's distance from the cheapest on-demand price. */
  anchor: number;
}

export interface ScoredWork {
  premium: boolean;
  cpus: number;
}

/** A machine, or a kind of machine that could be rented, as the policy sees it. */
export interface MachineCandidate {
  /** Price per CPU-hour. */
  price: number;
  spot: boolean;
  /** Probability of an interruption per hazard step. */
  hazard: number;
  /** True if it would have to be rented. */
  needsRental: boolean;
  freeCpus: number;
  /** Time until a task could start there (boot, image fetch), in minutes. */
  delayMin: number;
}

// The champion's tie-break weights.
const premiumReuseBonus = 0.01;
const reuseBonus = 0.008;
const freeCpuBonus = 0.0008;
const maxCountedFreeCpus = 12;
const delayPenaltyPerMin = 0.004;

/** Placement order: larger goes first. */
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

/** How much a task on this machine wants to move away; 0: not at all. */
export const migrationUrgency = (
  candidate: Pick<MachineCandidate, 'price' | 'hazard' | 'spot'>,
  anchor: number,
  weights: ScoreWeights,
): number => (candidate.spot && hazardAdjustedPrice(candidate, weights) > anchor ? 0.5 : 0);
