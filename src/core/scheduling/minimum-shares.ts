/** Minimum shares: teams and classes that had less than theirs go first in a cycle. */
import { workloadKey, type WorkloadUsage } from '../../admission/index.js';
import type { Resources } from '../../model/machine.js';
import { isSuspect } from '../failure-attribution.js';
import type { ShardState } from '../shard-state/shard-state.js';
import { waitingTaskCount } from '../shard-state/jobs.js';
import type { ScheduledJob } from '../shard-state/types.js';

/** The work of one class of one team. */
interface Workload extends WorkloadUsage {
  readonly waitingJobs: ScheduledJob[];
}

/** The jobs that go first because their team and class had less than their minimum share, and how many of their tasks may. */
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
      // A gang whole or not at all, and something in any case: a minimum share may be less than a task.
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

/** The share of the capacity that a task takes of the resource that it takes most of. */
const dominantShare = (
  task: Pick<Resources, 'cpus' | 'gpus'>,
  capacity: Pick<Resources, 'cpus' | 'gpus'>,
): number => Math.max(task.cpus / capacity.cpus, capacity.gpus > 0 ? task.gpus / capacity.gpus : 0);

/** What each team and class uses, and which of its jobs wait. */
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
    // Guards against a faulty job that goes first for ever: what it takes comes to nothing.
    if (isSuspect(job)) continue;
    const workload = workloadOf(job);
    workload.waiting = true;
    workload.waitingJobs.push(job);
  }
  return workloads;
}
