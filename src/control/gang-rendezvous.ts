/** Synchronizes gang starts: no task of a gang runs before all tasks of the attempt are ready on their machines. */
import type { Heartbeat, TaskStatus } from '../model/heartbeat.js';

/** A task of a gang attempt that is present on a machine. */
interface PresentTask {
  readonly host: string;
  /** When the machine last listed it, ms. */
  readonly listedAt: number;
}

/** What the rendezvous needs from the control service. */
export interface GangRendezvousOptions {
  /** Returns how many tasks an unfinished gang still has to run; null for any other job. */
  readonly pendingTasks: (job: string) => number | null;
  /** The lease of the agents, ms. */
  readonly leaseMs: number;
  /** A monotonic clock, ms. */
  readonly now: () => number;
}

/**
 * Tracks which tasks of each gang attempt are present, that is, waiting, or already running because the attempt was complete
 * before this process started. A task that was not listed for longer than the agents' lease is not present any more: its agent
 * has forgotten it. Once all are present, the next heartbeat response to each machine tells it to start its
 * waiting tasks.
 */
export class GangRendezvous {
  /** By gang attempt, "JOB ATTEMPT": the present tasks by task index. */
  private readonly present = new Map<string, Map<number, PresentTask>>();

  constructor(private readonly options: GangRendezvousOptions) {}

  /** Updates the state from a heartbeat; returns the gang attempts, "JOB ATTEMPT", that may now start on its machine. */
  observe(heartbeat: Heartbeat): string[] {
    const complete = new Set<string>();
    for (const task of heartbeat.tasks) {
      const pending = this.options.pendingTasks(task.job);
      const key = gangKey(task);
      if (pending === null) {
        this.present.delete(key);
        continue;
      }
      if (!isPresent(task)) {
        this.present.get(key)?.delete(task.index);
        continue;
      }
      let gang = this.present.get(key);
      if (!gang) this.present.set(key, (gang = new Map<number, PresentTask>()));
      gang.set(task.index, { host: heartbeat.host, listedAt: this.options.now() });
      this.removeExpired(gang);
      if (task.phase === 'waiting' && gang.size >= pending) complete.add(key);
    }
    this.removeUnlisted(heartbeat);
    return [...complete];
  }

  /** Removes tasks whose machines have not listed them for longer than the agents' lease. */
  private removeExpired(gang: Map<number, PresentTask>): void {
    const oldest = this.options.now() - this.options.leaseMs;
    for (const [index, { listedAt }] of gang) if (listedAt < oldest) gang.delete(index);
  }

  /** Removes tasks that a machine had reported earlier but does not list in this heartbeat. */
  private removeUnlisted(heartbeat: Heartbeat): void {
    const listed = new Set(heartbeat.tasks.map((task) => `${gangKey(task)} ${task.index}`));
    for (const [key, gang] of this.present) {
      for (const [index, { host }] of gang)
        if (host === heartbeat.host && !listed.has(`${key} ${index}`)) gang.delete(index);
      if (gang.size === 0) this.present.delete(key);
    }
  }
}

const gangKey = (task: TaskStatus): string => `${task.job} ${task.attempt}`;
const isPresent = (task: TaskStatus): boolean => task.phase === 'waiting' || task.phase === 'running';
