/** Teams and classes that had less than their floor go first in a round. */
import { workloadKey, type WorkloadUsage } from '../../admission/index.js';
import { isSuspect } from '../failure-attribution.js';
import type { ShardState } from '../shard-state/shard-state.js';
import { waitingTaskCount } from '../shard-state/jobs.js';
import type { ScheduledJob } from '../shard-state/types.js';

interface WorkKind extends WorkloadUsage {
  jobs: ScheduledJob[];
}

/** The jobs that go first because their team and class had less than their floor, and how many of their tasks may. */
export function jobsBelowMinimumShare(
  shardState: ShardState,
  waiting: readonly ScheduledJob[],
): Map<ScheduledJob, number> {
  const result = new Map<ScheduledJob, number>();
  if (shardState.operators['floor-share'] <= 0) return result;
  const capacity = { cpus: 0, gpus: 0 };
  for (const machine of shardState.machines.values()) {
    capacity.cpus += machine.type.cpus;
    capacity.gpus += machine.type.gpus;
  }
  if (capacity.cpus <= 0) return result;
  const shareOf = (job: ScheduledJob): number =>
    Math.max(job.spec.cpus / capacity.cpus, capacity.gpus > 0 ? job.spec.gpus / capacity.gpus : 0);
  const kinds = new Map<string, WorkKind>();
  const kindOf = ({ spec: { team, class: cls } }: ScheduledJob): WorkKind => {
    const kind = workloadKey(team, cls);
    let k = kinds.get(kind);
    if (!k) kinds.set(kind, (k = { workload: kind, team, share: 0, waiting: false, jobs: [] }));
    return k;
  };
  for (const job of shardState.jobs.values())
    if (job.placements.size > 0) kindOf(job).share += job.placements.size * shareOf(job);
  for (const job of waiting) {
    // Guards against a job with a mistake that is lifted for ever: what it takes comes to nothing.
    if (isSuspect(job)) continue;
    const kind = kindOf(job);
    kind.waiting = true;
    kind.jobs.push(job);
  }
  for (const owed of shardState.minimumShares.findDeficits(shardState.clock.now, [...kinds.values()])) {
    let left = owed.deficit;
    for (const job of kinds.get(owed.workload)!.jobs.sort((a, b) => a.acceptedAt - b.acceptedAt)) {
      if (left <= 0) break;
      const each = shareOf(job);
      // A gang whole or not at all, and something in any case: a floor may be less than a task.
      const count = job.spec.shape === 'gang' ? waitingTaskCount(job) : Math.max(1, Math.floor(left / each));
      result.set(job, count);
      left -= Math.min(count, waitingTaskCount(job)) * each;
    }
  }
  return result;
}
