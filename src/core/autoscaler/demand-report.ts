/** The demand report: what the leader expects waiting tasks to run on. It is logged for operators. */
import type { JobSpec } from '../../model/job.js';

/**
 * What a waiting task is expected to run on. `quota`: nothing until its team's quota allows it; `unassigned`: nothing until its
 * team is assigned to a shard; `failing`: nothing of its own, since its job is suspected to be faulty; `free`: free capacity of
 * existing and expected machines; `busy`: capacity that running tasks will free; `unmet`: a machine to be requested.
 */
export type DemandSource = 'quota' | 'unassigned' | 'failing' | 'free' | 'busy' | 'unmet';

/** The number of waiting tasks of one class by what they are expected to run on. */
type ClassDemand = Partial<Record<DemandSource, number>>;

/** Counts the waiting tasks of one planning cycle by class and source. */
export class DemandReport {
  private readonly byClass = new Map<string, ClassDemand>();

  /** Counts `tasks` waiting tasks of a job. */
  count({ class: jobClass }: JobSpec, source: DemandSource, tasks: number): void {
    if (tasks === 0) return;
    const demand = this.byClass.get(jobClass) ?? {};
    demand[source] = (demand[source] ?? 0) + tasks;
    this.byClass.set(jobClass, demand);
  }

  /** Whether no task waits. */
  get isEmpty(): boolean {
    return this.byClass.size === 0;
  }

  /** The counts by class, as fields of a log entry. */
  get classes(): Record<string, ClassDemand> {
    return Object.fromEntries(this.byClass);
  }
}
