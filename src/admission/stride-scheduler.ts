/** Stride scheduling: flows are served in proportion to their weights. */
import TinyQueue from 'tinyqueue';

/** A flow of entries that takes turns with other flows. */
export interface Flow {
  readonly name: string;
  /** Breaks ties between flows of the same pass. */
  readonly sequence: number;
  /** The virtual time at which its next turn begins. */
  pass: number;
  weight: number;
  /** The number of entries that the flow has. */
  queued: number;
}

/** A flow's entry in a heap. It is outdated once the flow's pass has changed or the flow belongs in the other heap. */
interface HeapEntry<F> {
  readonly flow: F;
  readonly pass: number;
}

const byPass = (a: HeapEntry<Flow>, b: HeapEntry<Flow>): number =>
  a.pass - b.pass || a.flow.sequence - b.flow.sequence;

/**
 * Start-time fair queueing: a turn of a flow takes 1 / weight of virtual time, and the flow with the earliest pass is next. A flow
 * that was empty starts at the current virtual time: it does not catch up on turns that it did not use. An empty flow is
 * remembered until its last turn is over; otherwise it would return as a new flow. No operation visits all flows, because there
 * may be ten thousand.
 */
export class StrideScheduler<F extends Flow> {
  private readonly flows = new Map<string, F>();
  /** Flows with entries, by pass; outdated heap entries are skipped. */
  private readonly backlogged = new TinyQueue<HeapEntry<F>>([], byPass);
  /** Flows without entries, by pass; outdated heap entries are skipped. */
  private readonly idle = new TinyQueue<HeapEntry<F>>([], byPass);
  private activeWeight = 0;
  private activeCount = 0;
  private virtualTime = 0;
  private createdCount = 0;

  /** Returns a flow that has entries or had one recently. */
  get(name: string): F | undefined {
    return this.flows.get(name);
  }

  /** Counts an entry of a flow, and sets the flow's weight. Creates the flow if it is unknown. */
  addEntry(name: string, weight: number, create: (flow: Flow) => F): F {
    let flow = this.flows.get(name);
    if (!flow) {
      flow = create({ name, sequence: ++this.createdCount, pass: 0, weight, queued: 0 });
      this.flows.set(name, flow);
    }
    if (flow.queued === 0) {
      flow.pass = Math.max(flow.pass, this.virtualTime);
      this.backlogged.push({ flow, pass: flow.pass });
      this.activeCount++;
    } else this.activeWeight -= flow.weight;
    this.activeWeight += weight;
    flow.weight = weight;
    flow.queued++;
    return flow;
  }

  /** Records that a flow has one entry less. */
  removeEntry(flow: F): void {
    if (--flow.queued > 0) return;
    this.activeWeight = --this.activeCount === 0 ? 0 : this.activeWeight - flow.weight;
    this.idle.push({ flow, pass: flow.pass });
  }

  /** The share of turns that a flow has now, or would have with this weight if it had entries. */
  shareOf(name: string, weight: number): number {
    const flow = this.flows.get(name);
    if (flow && flow.queued > 0) return flow.weight / this.activeWeight;
    return weight / (this.activeWeight + weight);
  }

  /** Selects the flow whose turn is next, and counts the turn. Returns null if no flow has entries. */
  selectNext(): F | null {
    let entry = this.backlogged.pop();
    while (entry && !(entry.flow.queued > 0 && entry.flow.pass === entry.pass)) entry = this.backlogged.pop();
    if (!entry) return null;
    const { flow } = entry;
    this.virtualTime = flow.pass;
    flow.pass += 1 / flow.weight;
    this.backlogged.push({ flow, pass: flow.pass });
    this.forgetIdle();
    return flow;
  }

  /** Forgets empty flows whose last turn is over. */
  private forgetIdle(): void {
    let entry = this.idle.peek();
    for (; entry && entry.pass <= this.virtualTime; entry = this.idle.peek()) {
      this.idle.pop();
      const { flow, pass } = entry;
      if (flow.queued === 0 && flow.pass === pass && this.flows.get(flow.name) === flow)
        this.flows.delete(flow.name);
    }
  }

  /** Iterates over all remembered flows. */
  [Symbol.iterator](): Iterator<F> {
    return this.flows.values();
  }
}
