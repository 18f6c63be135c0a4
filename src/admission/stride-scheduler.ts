import TinyQueue from 'tinyqueue';

/** Somebody who takes turns. */
export interface Flow {
  readonly name: string;
  /** Tells lanes apart that are to go at the same time. */
  readonly sequence: number;
  /** The virtual time at which its next turn begins. */
  pass: number;
  weight: number;
  /** How many entries it has. */
  queued: number;
}

/** A lane's place in a queue; it holds for as long as the lane's pass is the same and it still belongs there. */
interface HeapEntry<L> {
  flow: L;
  pass: number;
}

const byPass = (a: HeapEntry<Flow>, b: HeapEntry<Flow>): number =>
  a.pass - b.pass || a.flow.sequence - b.flow.sequence;

/**
 * Start-time fair queueing: a turn of a lane lasts 1 / weight of virtual time, the earliest goes next, and who comes back after
 * having had nothing begins now, not with what it did not use. A lane that is empty is remembered until its last turn is over:
 * otherwise it would come back as new. Nothing here looks through all lanes: there may be ten thousand.
 */
export class StrideScheduler<L extends Flow> {
  private readonly flows = new Map<string, L>();
  /** Those that have entries, and those that have none, by when they would go; places that hold no more are passed over. */
  private readonly backlogged = new TinyQueue<HeapEntry<L>>([], byPass);
  private readonly idle = new TinyQueue<HeapEntry<L>>([], byPass);
  private activeWeight = 0;
  private activeCount = 0;
  private virtualTime = 0;
  private createdCount = 0;

  get(name: string): L | undefined {
    return this.flows.get(name);
  }

  /** A lane gets an entry; its weight is what it is from now on. */
  addEntry(name: string, weight: number, make: (lane: Flow) => L): L {
    let lane = this.flows.get(name);
    if (!lane) {
      lane = make({ name, sequence: ++this.createdCount, pass: 0, weight, queued: 0 });
      this.flows.set(name, lane);
    }
    if (lane.queued === 0) {
      lane.pass = Math.max(lane.pass, this.virtualTime);
      this.backlogged.push({ flow: lane, pass: lane.pass });
      this.activeCount++;
    } else this.activeWeight -= lane.weight;
    this.activeWeight += weight;
    lane.weight = weight;
    lane.queued++;
    return lane;
  }

  /** A lane has an entry less. */
  removeEntry(lane: L): void {
    if (--lane.queued > 0) return;
    this.activeWeight = --this.activeCount === 0 ? 0 : this.activeWeight - lane.weight;
    this.idle.push({ flow: lane, pass: lane.pass });
  }

  /** The share of the turns that a lane has now, or would have with this weight if it came. */
  shareOf(name: string, weight: number): number {
    const lane = this.flows.get(name);
    if (lane && lane.queued > 0) return lane.weight / this.activeWeight;
    return weight / (this.activeWeight + weight);
  }

  /** Whose turn it is; it is taken. */
  selectNext(): L | null {
    let place = this.backlogged.pop();
    while (place && !(place.flow.queued > 0 && place.flow.pass === place.pass)) place = this.backlogged.pop();
    if (!place) return null;
    const best = place.flow;
    this.virtualTime = best.pass;
    best.pass += 1 / best.weight;
    this.backlogged.push({ flow: best, pass: best.pass });
    for (let over = this.idle.peek(); over && over.pass <= this.virtualTime; over = this.idle.peek()) {
      this.idle.pop();
      const { flow: lane, pass } = over;
      if (lane.queued === 0 && lane.pass === pass && this.flows.get(lane.name) === lane)
        this.flows.delete(lane.name);
    }
    return best;
  }

  [Symbol.iterator](): Iterator<L> {
    return this.flows.values();
  }
}
