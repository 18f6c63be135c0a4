/** Memory of the process against the deployment's limit: when to collect garbage, when to shed load. */
import { readFileSync } from 'node:fs';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import type { Log } from './core/effects.js';
import type { Limits } from './limits/index.js';

/** A collection that was asked for costs much: so long after one none is asked for again. */
const collectionIntervalMs = 20_000;
const pageKb = 4;

/**
 * Keeps what the process holds below what the settings give it. The engine takes its own limit from the command line,
 * which is the same for all deployments; so it is told to collect when the deployment's limit is near.
 */
export class MemoryUsage {
  private collectedAt = -Infinity;
  private collect: (() => void) | null = null;
  private short = false;
  /** Of what may be held before only what is needed most is taken in. */
  utilization = 0;

  constructor(
    private readonly limits: Limits['memory'],
    private readonly log: Log,
    private readonly measureMb: () => number = residentMb,
  ) {}

  /** Whether only what is needed most should be taken in now. */
  check(now: number): boolean {
    let held = this.measureMb();
    if (held > this.limits.collectGarbageAboveMb && now - this.collectedAt > collectionIntervalMs) {
      this.collectedAt = now;
      this.collector()();
      const before = held;
      held = this.measureMb();
      this.log('info', 'memory collected', { before: Math.round(before), after: Math.round(held) });
    }
    this.utilization = held / this.limits.shedLoadAboveMb;
    const tight = held > this.limits.shedLoadAboveMb;
    if (tight !== this.short)
      this.log('warn', tight ? 'memory is short' : 'memory is enough again', { held: Math.round(held) });
    this.short = tight;
    return tight;
  }

  private collector(): () => void {
    if (!this.collect) {
      setFlagsFromString('--expose-gc');
      this.collect = runInNewContext('gc') as () => void;
    }
    return this.collect;
  }
}

/** What the process holds itself, without the program's pages, which all processes of a machine share. */
function residentMb(): number {
  try {
    const [, resident, shared] = readFileSync('/proc/self/statm', 'latin1').split(' ').map(Number);
    return ((resident - shared) * pageKb) / 1024;
  } catch {
    const { heapTotal, external } = process.memoryUsage();
    return (heapTotal + external) / 1024 / 1024;
  }
}
