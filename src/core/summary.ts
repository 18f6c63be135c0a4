/** What operators are told of the fleet and of what waits, in the log. */
import { fitCount } from '../model/machine.js';
import { isSuspect } from './failure-attribution.js';
import type { ShardState } from './shard-state/shard-state.js';
import { waitingTaskCount } from './shard-state/jobs.js';
import type { ScheduledJob } from './shard-state/types.js';

/** Of a class, in the log: its tasks by state, and what the waiting ones wait for. */
interface ClassSummary {
  jobs: number;
  waiting: number;
  placed: number;
  fetching: number;
  running: number;
  because: Record<string, number>;
}

/** Of a team, in the log: its jobs since the shard was taken up, what they wait for and what they use of its limit. */
interface TeamSummary {
  open: number;
  done: number;
  waiting: number;
  active: number;
  cpus: number;
  gpus: number;
}

/** For operators: how the fleet is used and what waits. `looked`: machines that placement has looked at; `more`: of others. */
export function summarize(shardState: ShardState, looked: number, more: object): void {
  const fleet: Record<string, { up: number; coming: number; idle: number; cpus: number; gpus: number }> = {};
  for (const machine of shardState.machines.values()) {
    const f = (fleet[`${machine.type.name}${machine.spot ? ' spot' : ''}`] ??= {
      up: 0,
      coming: 0,
      idle: 0,
      cpus: 0,
      gpus: 0,
    });
    if (machine.confirmedAt === 0) f.coming++;
    else f.up++;
    if (machine.confirmedAt > 0 && machine.placements.size === 0) f.idle++;
    f.cpus += machine.used.cpus / machine.type.cpus;
    if (machine.type.gpus > 0) f.gpus += machine.used.gpus / machine.type.gpus;
  }
  for (const f of Object.values(fleet)) {
    f.cpus = Math.round((100 * f.cpus) / (f.up + f.coming)) / 100;
    f.gpus = Math.round((100 * f.gpus) / (f.up + f.coming)) / 100;
  }
  const jobs: Record<string, ClassSummary> = {};
  const teams: Record<string, TeamSummary> = {};
  const teamOf = (name: string): TeamSummary => {
    const use = shardState.usageByTeam.get(name);
    return (teams[name] ??= {
      open: 0,
      done: shardState.finishedJobsByTeam.get(name) ?? 0,
      waiting: 0,
      active: 0,
      cpus: Math.round(use?.cpus ?? 0),
      gpus: Math.round(use?.gpus ?? 0),
    });
  };
  for (const name of shardState.finishedJobsByTeam.keys()) teamOf(name);
  for (const job of shardState.jobs.values()) {
    const team = teamOf(job.spec.team);
    team.open++;
    team.waiting += waitingTaskCount(job);
    team.active += job.placements.size;
    const c = (jobs[job.spec.class] ??= {
      jobs: 0,
      waiting: 0,
      placed: 0,
      fetching: 0,
      running: 0,
      because: {},
    });
    c.jobs++;
    const waiting = waitingTaskCount(job);
    c.waiting += waiting;
    if (waiting > 0) {
      const why = waitsFor(shardState, job);
      c.because[why] = (c.because[why] ?? 0) + waiting;
    }
    for (const placement of job.placements.values()) {
      if (placement.phase === 'running') c.running++;
      else if (placement.phase === 'placed') c.placed++;
      else c.fetching++;
    }
  }
  shardState.log('info', 'summary', { fleet, jobs, teams, looked, ...more });
}

/** What a job's waiting tasks wait for, in an operator's words. */
function waitsFor(shardState: ShardState, job: ScheduledJob): string {
  if (job.cancelled) return 'cancelled';
  if (job.finalizing) return 'its end being recorded';
  if (job.tearingDown) return 'its attempt being taken down';
  if (job.retryNotBefore > shardState.clock.now) return isSuspect(job) ? 'fails everywhere' : 'pause';
  const all = job.spec.shape === 'gang' ? waitingTaskCount(job) : 1;
  if (fitCount(job.spec, shardState.availableQuota(job.spec)) < all) return 'team limit';
  return 'machine';
}
