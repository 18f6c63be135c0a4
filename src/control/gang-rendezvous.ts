/** Synchronizes gang starts: no task of a gang runs before all tasks of the attempt are ready on their machines. */
import type { Heartbeat, TaskStatus } from '../model/heartbeat.js';

/** A task of a gang attempt that is present on a machine. */
interface PresentTask {
  /** The gang attempt, "JOB ATTEMPT". */
  readonly gang: string;
  readonly index: number;
}

/** The tasks that a machine listed as present in its last heartbeat. */
interface Listing {
  readonly listedAt: number;
  readonly tasks: readonly PresentTask[];
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
 * waiting tasks. A heartbeat visits the tasks of its own machine only.
 */
export class GangRendezvous {
  /** By gang attempt, "JOB ATTEMPT": the machine that listed each present task last, by task index. */
  private readonly hosts = new Map<string, Map<number, string>>();
  /** By machine, the one that was listed longest ago first. */
  private readonly listings = new Map<string, Listing>();

  constructor(private readonly options: GangRendezvousOptions) {}

  /** Updates the state from a heartbeat; returns the gang attempts, "JOB ATTEMPT", that may now start on its machine. */
  observe(heartbeat: Heartbeat): string[] {
    this.removeExpired();
    this.removeListing(heartbeat.host);
    const pendingTasks = this.pendingTasksOf(heartbeat);
    const present = heartbeat.tasks.filter((task) => isPresent(task) && pendingTasks.get(task.job) !== null);
    this.addListing(heartbeat.host, present);
    const complete = new Set<string>();
    for (const task of present) {
      const gang = gangKey(task);
      const isComplete = this.hosts.get(gang)!.size >= pendingTasks.get(task.job)!;
      if (task.phase === 'waiting' && isComplete) complete.add(gang);
    }
    return [...complete];
  }

  /** How many tasks each job in a heartbeat still has to run, if it is an unfinished gang, and null otherwise. */
  private pendingTasksOf(heartbeat: Heartbeat): ReadonlyMap<string, number | null> {
    const jobs = new Set(heartbeat.tasks.map((task) => task.job));
    return new Map([...jobs].map((job) => [job, this.options.pendingTasks(job)]));
  }

  private addListing(host: string, present: readonly TaskStatus[]): void {
    if (present.length === 0) return;
    const tasks = present.map((task) => ({ gang: gangKey(task), index: task.index }));
    for (const { gang, index } of tasks) {
      const hostsOfGang = this.hosts.get(gang);
      if (hostsOfGang) hostsOfGang.set(index, host);
      else this.hosts.set(gang, new Map([[index, host]]));
    }
    this.listings.set(host, { listedAt: this.options.now(), tasks });
  }

  /** Removes the tasks that a machine listed, but for those that another machine has listed since. */
  private removeListing(host: string): void {
    for (const { gang, index } of this.listings.get(host)?.tasks ?? []) {
      const hostsOfGang = this.hosts.get(gang);
      if (hostsOfGang?.get(index) !== host) continue;
      hostsOfGang.delete(index);
      if (hostsOfGang.size === 0) this.hosts.delete(gang);
    }
    this.listings.delete(host);
  }

  /** Removes the tasks of machines that have not listed them for longer than the agents' lease. */
  private removeExpired(): void {
    const oldest = this.options.now() - this.options.leaseMs;
    for (const [host, { listedAt }] of this.listings) {
      if (listedAt >= oldest) break;
      this.removeListing(host);
    }
  }
}

const gangKey = (task: TaskStatus): string => `${task.job} ${task.attempt}`;
const isPresent = (task: TaskStatus): boolean => task.phase === 'waiting' || task.phase === 'running';
