/**
 * Tells jobs that were submitted with a mistake from faulty machines, by evidence across both: a job that fails on
 * several machines and completes nowhere is itself to blame; a machine is, if jobs that complete elsewhere fail on it,
 * or several that have been nowhere else.
 */
export interface FailureHistory {
  /** Machines on which its tasks failed. */
  failedHosts: ReadonlySet<string>;
  /** How many of its tasks have completed. */
  completedCount: number;
}

/** On so many machines a job must have failed, and completed on none, to be suspected of a mistake. */
export const suspectHostCount = 2;

/** So many of the machines that a job failed on are recorded. */
export const maxStoredFailedHosts = 4;

export const isSuspect = (job: FailureHistory): boolean =>
  job.completedCount === 0 && job.failedHosts.size >= suspectHostCount;

/** A machine with so much evidence against it is given up. */
export const quarantineEvidence = 2;

/**
 * The evidence against a machine. Guards against a job with a mistake: its hundreds of tasks fail on as many machines
 * within seconds, and every one of those would be rested or given up.
 */
export function evidenceAgainst(
  failuresByJob: ReadonlyMap<string, number>,
  jobOf: (id: string) => FailureHistory | undefined,
): number {
  let sum = 0;
  for (const [id, times] of failuresByJob) {
    const job = jobOf(id);
    // Of a job that is over, nothing is known any more.
    if (!job) continue;
    if (job.completedCount > 0) sum += Math.min(times, quarantineEvidence);
    else if (!isSuspect(job)) sum += 1;
  }
  return sum;
}
