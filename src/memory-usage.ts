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
  private lastCollectionAt = -Infinity;
  private collectGarbage: (() => void) | null = null;
  private wasShort = false;
  /** Of what may be held before only what is needed most is taken in. */
  utilization = 0;

  constructor(
    private readonly limits: Limits['memory'],
    private readonly log: Log,
    private readonly measureMb: () => number = privateResidentMb,
  ) {}

  /** Whether only what is needed most should be taken in now. */
  check(now: number): boolean {
    let usedMb = this.measureMb();
    if (usedMb > this.limits.collectGarbageAboveMb && now - this.lastCollectionAt > collectionIntervalMs) {
      this.lastCollectionAt = now;
      this.garbageCollector()();
      const usedBeforeMb = usedMb;
      usedMb = this.measureMb();
      this.log('info', 'memory collected', { before: Math.round(usedBeforeMb), after: Math.round(usedMb) });
    }
    this.utilization = usedMb / this.limits.shedLoadAboveMb;
    const isShort = usedMb > this.limits.shedLoadAboveMb;
    if (isShort !== this.wasShort)
      this.log('warn', isShort ? 'memory is short' : 'memory is enough again', { held: Math.round(usedMb) });
    this.wasShort = isShort;
    return isShort;
  }

  private garbageCollector(): () => void {
    if (!this.collectGarbage) {
      setFlagsFromString('--expose-gc');
      this.collectGarbage = runInNewContext('gc') as () => void;
    }
    return this.collectGarbage;
  }
}

/** What the process holds itself, without the program's pages, which all processes of a machine share. */
function privateResidentMb(): number {
  try {
    const [, resident, shared] = readFileSync('/proc/self/statm', 'latin1').split(' ').map(Number);
    return ((resident - shared) * pageKb) / 1024;
  } catch {
    const { heapTotal, external } = process.memoryUsage();
    return (heapTotal + external) / 1024 / 1024;
  }
}
