/** Handles machines on which tasks fail, and jobs that fail on several machines. */
import { evidenceAgainst, isSuspect, quarantineEvidence, suspectHostCount } from './failure-attribution.js';
import type { ShardState } from './shard-state/shard-state.js';
import type { ScheduledJob, ScheduledMachine } from './shard-state/types.js';

/** The maximum retry delay of a suspect job, in worker leases. */
const maxRetryDelayLeases = 2.5;

/** A machine with evidence against it receives no tasks for this many report intervals. */
const failureCooldownReports = 4;

/** Records task failures, excludes faulty machines for a cooldown time or permanently, and delays retries of suspect jobs. */
export class MachineHealth {
  constructor(private readonly shardState: ShardState) {}

  /** Records that a task of a job failed on a machine. */
  recordTaskFailure(machine: ScheduledMachine, job: ScheduledJob): void {
    machine.failuresByJob.set(job.id, (machine.failuresByJob.get(job.id) ?? 0) + 1);
    const hostsBefore = job.failedHosts.size;
    job.failedHosts.add(machine.host);
    if (!isSuspect(job)) return this.reassessMachine(machine);
    this.delayRetry(job);
    const becameSuspect = hostsBefore < job.failedHosts.size && job.failedHosts.size === suspectHostCount;
    if (becameSuspect) this.handleNewSuspect(job);
  }

  /** Evaluates the machines on which a job failed again, after the failure history of the job has changed. */
  reassessFailedHosts(job: ScheduledJob): void {
    for (const host of job.failedHosts) {
      const machine = this.shardState.machines.get(host);
      if (machine) this.reassessMachine(machine);
    }
  }

  private delayRetry(job: ScheduledJob): void {
    const { clock, settings } = this.shardState;
    const { lease_s, report_s } = settings.workers;
    // Tasks that start together may all fail at about the same time: together they count as one failed attempt.
    if (job.placements.size <= 1) job.failedRetries++;
    const delayS = Math.min(maxRetryDelayLeases * lease_s, report_s * 2 ** job.failedRetries);
    job.retryNotBefore = clock.now + delayS * 1000;
  }

  /** Clears the machines on which the job failed while it was not yet suspect, and has the failed hosts stored. */
  private handleNewSuspect(job: ScheduledJob): void {
    const { log, taskWriter } = this.shardState;
    log('info', 'job is suspect because it fails on several machines', {
      job: job.id,
      hosts: [...job.failedHosts],
    });
    this.reassessFailedHosts(job);
    const [firstChunk] = job.chunks;
    firstChunk.version++;
    taskWriter.noteTermination(job, firstChunk);
  }

  /** Quarantines a machine, starts its cooldown, or clears it, depending on the evidence against it. */
  private reassessMachine(machine: ScheduledMachine): void {
    const { clock, jobs, log, settings } = this.shardState;
    const evidence = evidenceAgainst(machine.failuresByJob, (id) => jobs.get(id));
    if (evidence < quarantineEvidence) {
      const cooldownMs = settings.workers.report_s * (1000 * failureCooldownReports);
      machine.cooldownUntil = evidence > 0 ? clock.now + cooldownMs : 0;
      return;
    }
    if (machine.quarantined) return;
    const { host } = machine;
    log('warn', 'quarantining machine because tasks fail on it', {
      host,
      failures: Object.fromEntries(machine.failuresByJob),
    });
    machine.quarantined = true;
    for (const placement of machine.placements.values()) {
      const { shape, saveS } = placement.job.spec;
      if (shape !== 'gang') this.shardState.requestStop(placement, saveS);
    }
  }
}
