import TinyQueue from 'tinyqueue';

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

/** A lane's place in a queue; it holds for as long as the lane's pass is the same and it still belongs there. */
interface Place<L> {
  lane: L;
  pass: number;
}

const byPass = (a: Place<Lane>, b: Place<Lane>): number => a.pass - b.pass || a.lane.seq - b.lane.seq;

/**
 * Start-time fair queueing: a turn of a lane lasts 1 / weight of virtual time, the earliest goes next, and who comes back after
 * having had nothing begins now, not with what it did not use. A lane that is empty is remembered until its last turn is over:
 * otherwise it would come back as new. Nothing here looks through all lanes: there may be ten thousand.
 */
export class Turns<L extends Lane> {
  private readonly lanes = new Map<string, L>();
  /** Those that have entries, and those that have none, by when they would go; places that hold no more are passed over. */
  private readonly busy = new TinyQueue<Place<L>>([], byPass);
  private readonly resting = new TinyQueue<Place<L>>([], byPass);
  private weights = 0;
  private active = 0;
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
      lane.pass = Math.max(lane.pass, this.now);
      this.busy.push({ lane, pass: lane.pass });
      this.active++;
    } else this.weights -= lane.weight;
    this.weights += weight;
    lane.weight = weight;
    lane.waiting++;
    return lane;
  }

  /** A lane has an entry less. */
  leave(lane: L): void {
    if (--lane.waiting > 0) return;
    this.weights = --this.active === 0 ? 0 : this.weights - lane.weight;
    this.resting.push({ lane, pass: lane.pass });
  }

  /** The share of the turns that a lane has now, or would have with this weight if it came. */
  shareOf(name: string, weight: number): number {
    const lane = this.lanes.get(name);
    if (lane && lane.waiting > 0) return lane.weight / this.weights;
    return weight / (this.weights + weight);
  }

  /** Whose turn it is; it is taken. */
  next(): L | null {
    let place = this.busy.pop();
    while (place && !(place.lane.waiting > 0 && place.lane.pass === place.pass)) place = this.busy.pop();
    if (!place) return null;
    const best = place.lane;
    this.now = best.pass;
    best.pass += 1 / best.weight;
    this.busy.push({ lane: best, pass: best.pass });
    for (let over = this.resting.peek(); over && over.pass <= this.now; over = this.resting.peek()) {
      this.resting.pop();
      const { lane, pass } = over;
      if (lane.waiting === 0 && lane.pass === pass && this.lanes.get(lane.name) === lane)
        this.lanes.delete(lane.name);
    }
    return best;
  }

  [Symbol.iterator](): Iterator<L> {
    return this.lanes.values();
  }
}
