/**
 * Attributes task failures to faulty jobs or faulty machines, by comparing failures across jobs and machines. A job that fails on
 * several machines and completes on none is faulty. A machine is faulty if jobs that complete elsewhere fail on it, or if several jobs
 * fail on it that have not run anywhere else.
 */

/** The failure history of a job. */
export interface FailureHistory {
  /** The machines on which tasks of the job failed. */
  readonly failedHosts: ReadonlySet<string>;
  /** The number of its tasks that have completed. */
  readonly completedCount: number;
}

/** A job that failed on at least this many machines and has completed no task is suspect. */
export const suspectHostCount = 2;

/** The maximum number of machines that are stored for a job as those on which it failed. */
export const maxStoredFailedHosts = 4;

/** Whether a job's failures are attributed to the job rather than to machines. */
export const isSuspect = (job: FailureHistory): boolean =>
  job.completedCount === 0 && job.failedHosts.size >= suspectHostCount;

/** A machine with at least this much evidence against it is quarantined. */
export const quarantineEvidence = 2;

/**
 * The evidence against a machine. Failures of suspect jobs do not count: otherwise the hundreds of tasks of a faulty job, which fail on
 * as many machines within seconds, would make all those machines cool down or be quarantined.
 */
export function evidenceAgainst(
  failuresByJob: ReadonlyMap<string, number>,
  jobOf: (id: string) => FailureHistory | undefined,
): number {
  let evidence = 0;
  for (const [id, failureCount] of failuresByJob) {
    const job = jobOf(id);
    // The failure history of a finished job is no longer available.
    if (!job) continue;
    if (job.completedCount > 0) evidence += Math.min(failureCount, quarantineEvidence);
    else if (!isSuspect(job)) evidence += 1;
  }
  return evidence;
}
