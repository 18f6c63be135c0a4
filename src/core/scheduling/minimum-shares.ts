/** Minimum shares: jobs of teams and classes that had less than their minimum share are placed first in a cycle. */
import { workloadKey, type WorkloadUsage } from '../../admission/index.js';
import type { Resources } from '../../model/machine.js';
import { isSuspect } from '../failure-attribution.js';
import type { ShardState } from '../shard-state/shard-state.js';
import { waitingTaskCount } from '../shard-state/jobs.js';
import type { ScheduledJob } from '../shard-state/types.js';

/** The jobs of one class of one team, and what they use. */
interface Workload extends WorkloadUsage {
  readonly waitingJobs: ScheduledJob[];
}

/**
 * The jobs that are placed first because their team and class had less than their minimum share, with the maximum number of
 * their tasks that are placed first.
 */
export function jobsBelowMinimumShare(
  shardState: ShardState,
  waiting: readonly ScheduledJob[],
): Map<ScheduledJob, number> {
  const taskLimits = new Map<ScheduledJob, number>();
  if (shardState.operators['floor-share'] <= 0) return taskLimits;
  const capacity = totalCapacity(shardState);
  if (capacity.cpus <= 0) return taskLimits;
  const shareOf = (job: ScheduledJob): number => dominantShare(job.spec, capacity);
  const workloads = collectWorkloads(shardState, waiting, shareOf);
  const deficits = shardState.minimumShares.findDeficits(shardState.clock.now, [...workloads.values()]);
  for (const { workload, deficit } of deficits) {
    let remaining = deficit;
    const jobs = workloads.get(workload)!.waitingJobs;
    for (const job of jobs.sort((a, b) => a.acceptedAt - b.acceptedAt)) {
      if (remaining <= 0) break;
      const share = shareOf(job);
      // A gang is placed as a whole. Of other jobs at least one task counts, since a minimum share may be less than one task.
      const count =
        job.spec.shape === 'gang' ? waitingTaskCount(job) : Math.max(1, Math.floor(remaining / share));
      taskLimits.set(job, count);
      remaining -= Math.min(count, waitingTaskCount(job)) * share;
    }
  }
  return taskLimits;
}

function totalCapacity(shardState: ShardState): Pick<Resources, 'cpus' | 'gpus'> {
  const capacity = { cpus: 0, gpus: 0 };
  for (const { type } of shardState.machines.values()) {
    capacity.cpus += type.cpus;
    capacity.gpus += type.gpus;
  }
  return capacity;
}

/** The dominant share of a task: its largest share of the capacity of any resource. */
const dominantShare = (
  task: Pick<Resources, 'cpus' | 'gpus'>,
  capacity: Pick<Resources, 'cpus' | 'gpus'>,
): number => Math.max(task.cpus / capacity.cpus, capacity.gpus > 0 ? task.gpus / capacity.gpus : 0);

/** The usage of each team and class, and its waiting jobs. */
function collectWorkloads(
  shardState: ShardState,
  waiting: readonly ScheduledJob[],
  shareOf: (job: ScheduledJob) => number,
): ReadonlyMap<string, Workload> {
  const workloads = new Map<string, Workload>();
  const workloadOf = ({ spec }: ScheduledJob): Workload => {
    const { team } = spec;
    const key = workloadKey(team, spec.class);
    let workload = workloads.get(key);
    if (!workload)
      workloads.set(key, (workload = { workload: key, team, share: 0, waiting: false, waitingJobs: [] }));
    return workload;
  };
  for (const job of shardState.jobs.values())
    if (job.placements.size > 0) workloadOf(job).share += job.placements.size * shareOf(job);
  for (const job of waiting) {
    // A faulty job would come first forever: it never completes, and what it uses is wasted.
    if (isSuspect(job)) continue;
    const workload = workloadOf(job);
    workload.waiting = true;
    workload.waitingJobs.push(job);
  }
  return workloads;
}
