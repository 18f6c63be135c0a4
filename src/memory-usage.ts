/** Compares the memory of the process with the deployment's limits, to collect garbage and to shed load in time. */
import { readFileSync } from 'node:fs';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import type { Log } from './core/effects.js';
import type { Limits } from './limits/index.js';

/** The least time between two requested garbage collections, because they are expensive. */
const collectionIntervalMs = 20_000;
/** The size of a memory page. */
const pageKb = 4;

/**
 * Keeps the memory of the process below the deployment's limit. The heap limit of V8 comes from the command line, which is the same
 * for all deployments; so garbage is collected on request when the deployment's limit is near.
 */
export class MemoryUsage {
  private lastCollectionAt = -Infinity;
  private collectGarbage: (() => void) | null = null;
  private wasShort = false;
  /** The memory in use, as a share of the limit above which load is shed. */
  utilization = 0;

  constructor(
    private readonly limits: Limits['memory'],
    private readonly log: Log,
    private readonly measureMb: () => number = privateResidentMb,
  ) {}

  /** Measures the memory, and collects garbage if needed. Returns whether load must be shed. */
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

  /** The garbage collector's function, which V8 provides only with the flag --expose-gc. */
  private garbageCollector(): () => void {
    if (!this.collectGarbage) {
      setFlagsFromString('--expose-gc');
      this.collectGarbage = runInNewContext('gc') as () => void;
    }
    return this.collectGarbage;
  }
}

/** The resident memory of the process, MB, without the pages of the program, which all processes on a machine share. */
function privateResidentMb(): number {
  try {
    const [, resident, shared] = readFileSync('/proc/self/statm', 'latin1').split(' ').map(Number);
    return ((resident - shared) * pageKb) / 1024;
  } catch {
    const { heapTotal, external } = process.memoryUsage();
    return (heapTotal + external) / 1024 / 1024;
  }
}
