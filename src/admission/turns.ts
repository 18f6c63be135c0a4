import BTreeModule from 'sorted-btree';

// The library is CommonJS: its class is the default of its default.
const BTree = BTreeModule.default;

/** Somebody who takes turns. */
export interface Lane {
  readonly name: string;
  /** Tells lanes apart that are to go at the same time. */
  readonly seq: number;
  /** The virtual time at which its next turn begins. */
  pass: number;
  weight: number;
  /** How many entries it has. */
  waiting: number;
}

const byPass = (a: Lane, b: Lane): number => a.pass - b.pass || a.seq - b.seq;

/**
 * Start-time fair queueing: a turn of a lane lasts 1 / weight of virtual time, the earliest goes next, and who comes back after
 * having had nothing begins now, not with what it did not use. A lane that is empty is remembered until its last turn is over:
 * otherwise it would come back as new. Nothing here looks through all lanes: there may be ten thousand.
 */
export class Turns<L extends Lane> {
  private readonly lanes = new Map<string, L>();
  /** Those that have entries, and those that have none, by when they would go. */
  private readonly waiting = new BTree<L, true>(undefined, byPass);
  private readonly resting = new BTree<L, true>(undefined, byPass);
  private weights = 0;
  private now = 0;
  private made = 0;

  get(name: string): L | undefined {
    return this.lanes.get(name);
  }

  /** A lane gets an entry; its weight is what it is from now on. */
  enter(name: string, weight: number, make: (lane: Lane) => L): L {
    let lane = this.lanes.get(name);
    if (!lane) {
      lane = make({ name, seq: ++this.made, pass: 0, weight, waiting: 0 });
      this.lanes.set(name, lane);
    }
    if (lane.waiting === 0) {
      this.resting.delete(lane);
      lane.pass = Math.max(lane.pass, this.now);
      this.waiting.set(lane, true);
    } else this.weights -= lane.weight;
    this.weights += weight;
    lane.weight = weight;
    lane.waiting++;
    return lane;
  }

  /** A lane has an entry less. */
  leave(lane: L): void {
    if (--lane.waiting > 0) return;
    this.waiting.delete(lane);
    this.weights = this.waiting.size === 0 ? 0 : this.weights - lane.weight;
    this.resting.set(lane, true);
  }

  /** The share of the turns that a lane has now, or would have with this weight if it came. */
  shareOf(name: string, weight: number): number {
    const lane = this.lanes.get(name);
    if (lane && lane.waiting > 0) return lane.weight / this.weights;
    return weight / (this.weights + weight);
  }

  /** Whose turn it is; it is taken. */
  next(): L | null {
    const best = this.waiting.minKey();
    if (best === undefined) return null;
    this.waiting.delete(best);
    this.now = best.pass;
    best.pass += 1 / best.weight;
    this.waiting.set(best, true);
    for (;;) {
      const over = this.resting.minKey();
      if (over === undefined || over.pass > this.now) break;
      this.resting.delete(over);
      this.lanes.delete(over.name);
    }
    return best;
  }

  [Symbol.iterator](): Iterator<L> {
    return this.lanes.values();
  }
}
