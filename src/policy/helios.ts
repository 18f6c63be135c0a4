/**
 * The evolved champion of HELIOS (paper, appendix "Champion policy"), as a pure policy: it orders, scores
 * and asks to move. What it may not do is decided by the guardrails, outside of it.
 */
export interface Weights {
  /** A: price of an interruption, per CPU-hour and unit of hazard. */
  hazard: number;
  /** Weight of a premium machine's distance from the cheapest on-demand price. */
  anchor: number;
}

export interface Work {
  premium: boolean;
  cpus: number;
}

/** A machine, or a kind of machine that could be rented, as the policy sees it. */
export interface Candidate {
  /** Price per CPU-hour. */
  price: number;
  spot: boolean;
  /** Probability of an interruption per hazard step. */
  hazard: number;
  /** True if it would have to be rented. */
  fresh: boolean;
  freeCpus: number;
  /** Time until a task could start there (boot, image fetch), in minutes. */
  delayMin: number;
}

// The champion's tie-break weights.
const premiumFill = 0.01;
const fill = 0.008;
const roomy = 0.0008;
const roomyUpTo = 12;
const delay = 0.004;

/** Placement order: larger goes first. */
export const order = (w: Work): number => (w.premium ? 10 : 0) + w.cpus;

/** What a machine costs per CPU-hour, with the hazard amortized. */
export const exposure = (c: Pick<Candidate, 'price' | 'hazard'>, w: Weights): number =>
  c.price + w.hazard * c.hazard;

/** Preference for a candidate: larger is better. `anchor` is the cheapest on-demand price per CPU-hour. */
export function score(work: Work, c: Candidate, anchor: number, w: Weights): number {
  let s: number;
  if (work.premium) {
    s = -c.price - w.anchor * Math.abs(c.price - anchor);
    if (!c.fresh) s += premiumFill;
  } else {
    s = -exposure(c, w);
    s += c.fresh ? roomy * Math.min(c.freeCpus, roomyUpTo) : fill;
  }
  return s - delay * c.delayMin;
}

/** How much a task on this machine wants to move away; 0: not at all. */
export const moveUrgency = (
  c: Pick<Candidate, 'price' | 'hazard' | 'spot'>,
  anchor: number,
  w: Weights,
): number => (c.spot && exposure(c, w) > anchor ? 0.5 : 0);
