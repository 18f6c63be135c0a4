/**
 * Attribution of task failures: tells faulty jobs from faulty machines by evidence across both. A job that fails on several
 * machines and completes on none is at fault itself. A machine is, if jobs that complete elsewhere fail on it, or several
 * jobs that have run nowhere else.
 */

/** What is known of a job's failures. */
export interface FailureHistory {
  /** Machines on which its tasks failed. */
  readonly failedHosts: ReadonlySet<string>;
  /** How many of its tasks have completed. */
  readonly completedCount: number;
}

/** A job that failed on so many machines, and completed on none, is suspect. */
export const suspectHostCount = 2;

/** How many of the machines that a job failed on are recorded. */
export const maxStoredFailedHosts = 4;

/** Whether a job's failures are attributed to the job rather than to machines. */
export const isSuspect = (job: FailureHistory): boolean =>
  job.completedCount === 0 && job.failedHosts.size >= suspectHostCount;

/** With so much evidence against it, a machine is quarantined. */
export const quarantineEvidence = 2;

/**
 * The evidence against a machine. Guards against a faulty job: its hundreds of tasks fail on as many machines within
 * seconds, and every one of those would cool down or be quarantined.
 */
export function evidenceAgainst(
  failuresByJob: ReadonlyMap<string, number>,
  jobOf: (id: string) => FailureHistory | undefined,
): number {
  let evidence = 0;
  for (const [id, failureCount] of failuresByJob) {
    const job = jobOf(id);
    // Nothing is known any more of a job that is over.
    if (!job) continue;
    if (job.completedCount > 0) evidence += Math.min(failureCount, quarantineEvidence);
    else if (!isSuspect(job)) evidence += 1;
  }
  return evidence;
}
