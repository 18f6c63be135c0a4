/** Somebody who takes turns. */
export interface Lane {
  /** The virtual time at which its next turn begins. */
  pass: number;
  weight: number;
  /** How many entries it has. */
  waiting: number;
}

/**
 * Start-time fair queueing: a turn of a lane lasts 1 / weight of virtual time, the earliest goes next, and who comes back after
 * having had nothing begins now, not with what it did not use. A lane that is empty is remembered until its last turn is over:
 * otherwise it would come back as new.
 */
export class Turns<L extends Lane> {
  private readonly lanes = new Map<string, L>();
  private now = 0;

  get(name: string): L | undefined {
    return this.lanes.get(name);
  }

  /** A lane that is about to get an entry. */
  open(name: string, make: () => L): L {
    let lane = this.lanes.get(name);
    if (!lane) this.lanes.set(name, (lane = make()));
    if (lane.waiting === 0) lane.pass = Math.max(lane.pass, this.now);
    return lane;
  }

  /** The share of the turns that a lane has now, or would have with this weight if it came. */
  shareOf(name: string, weight: number): number {
    let sum = 0;
    let mine = weight;
    let there = false;
    for (const [n, l] of this.lanes) {
      if (n === name) mine = l.weight;
      if (l.waiting === 0) continue;
      sum += l.weight;
      there ||= n === name;
    }
    return mine / (there ? sum : sum + mine);
  }

  /** Whose turn it is; it is taken. */
  next(): L | null {
    let best: L | null = null;
    for (const [name, l] of this.lanes)
      if (l.waiting > 0) {
        if (best === null || l.pass < best.pass) best = l;
      } else if (l.pass <= this.now) this.lanes.delete(name);
    if (best === null) return null;
    this.now = best.pass;
    best.pass += 1 / best.weight;
    return best;
  }

  [Symbol.iterator](): Iterator<L> {
    return this.lanes.values();
  }
}
