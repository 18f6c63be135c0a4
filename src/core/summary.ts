/** The summary of the owned shards that is logged for operators: how machines are used, and what waiting tasks wait for. */
import { fitCount } from '../model/machine.js';
import { isSuspect } from './failure-attribution.js';
import { waitingTaskCount } from './shard-state/jobs.js';
import type { ShardState } from './shard-state/shard-state.js';
import type { ScheduledJob } from './shard-state/types.js';

/** The machines of one type: how many are up, starting up and idle, and the shares of their CPUs and GPUs in use. */
interface MachineSummary {
  up: number;
  coming: number;
  idle: number;
  cpus: number;
  gpus: number;
}

/** The jobs of one class: the tasks by state, and the number of waiting tasks by what they wait for. */
interface ClassSummary {
  jobs: number;
  waiting: number;
  placed: number;
  fetching: number;
  running: number;
  because: Record<string, number>;
}

/** The jobs of one team: open jobs, jobs done since the shard was acquired, tasks, and what they use of the team's quota. */
interface TeamSummary {
  open: number;
  done: number;
  waiting: number;
  active: number;
  cpus: number;
  gpus: number;
}

/** Logs the summary. `machinesExamined` is the total that scheduling cycles have examined; `extraFields` are logged with it. */
export function summarize(shardState: ShardState, machinesExamined: number, extraFields: object): void {
  shardState.log('info', 'summary', {
    fleet: summarizeMachines(shardState),
    jobs: summarizeClasses(shardState),
    teams: summarizeTeams(shardState),
    looked: machinesExamined,
    ...extraFields,
  });
}

function summarizeMachines({ machines }: ShardState): Record<string, MachineSummary> {
  const byType: Record<string, MachineSummary> = {};
  for (const { type, spot, used, placements, confirmedAt } of machines.values()) {
    const summary = (byType[`${type.name}${spot ? ' spot' : ''}`] ??= {
      up: 0,
      coming: 0,
      idle: 0,
      cpus: 0,
      gpus: 0,
    });
    if (confirmedAt === 0) summary.coming++;
    else summary.up++;
    if (confirmedAt > 0 && placements.size === 0) summary.idle++;
    summary.cpus += used.cpus / type.cpus;
    if (type.gpus > 0) summary.gpus += used.gpus / type.gpus;
  }
  for (const summary of Object.values(byType)) {
    const count = summary.up + summary.coming;
    summary.cpus = Math.round((100 * summary.cpus) / count) / 100;
    summary.gpus = Math.round((100 * summary.gpus) / count) / 100;
  }
  return byType;
}

function summarizeClasses(shardState: ShardState): Record<string, ClassSummary> {
  const byClass: Record<string, ClassSummary> = {};
  for (const job of shardState.jobs.values()) {
    const summary = (byClass[job.spec.class] ??= {
      jobs: 0,
      waiting: 0,
      placed: 0,
      fetching: 0,
      running: 0,
      because: {},
    });
    summary.jobs++;
    const waiting = waitingTaskCount(job);
    summary.waiting += waiting;
    if (waiting > 0) {
      const reason = waitingReason(shardState, job);
      summary.because[reason] = (summary.because[reason] ?? 0) + waiting;
    }
    for (const { phase } of job.placements.values()) {
      if (phase === 'running') summary.running++;
      else if (phase === 'placed') summary.placed++;
      else summary.fetching++;
    }
  }
  return byClass;
}

function summarizeTeams(shardState: ShardState): Record<string, TeamSummary> {
  const byTeam: Record<string, TeamSummary> = {};
  const summaryOf = (team: string): TeamSummary => {
    const usage = shardState.usageByTeam.get(team);
    return (byTeam[team] ??= {
      open: 0,
      done: shardState.finishedJobsByTeam.get(team) ?? 0,
      waiting: 0,
      active: 0,
      cpus: Math.round(usage?.cpus ?? 0),
      gpus: Math.round(usage?.gpus ?? 0),
    });
  };
  for (const team of shardState.finishedJobsByTeam.keys()) summaryOf(team);
  for (const job of shardState.jobs.values()) {
    const summary = summaryOf(job.spec.team);
    summary.open++;
    summary.waiting += waitingTaskCount(job);
    summary.active += job.placements.size;
  }
  return byTeam;
}

/** What a job's waiting tasks wait for, as logged for operators. */
function waitingReason(shardState: ShardState, job: ScheduledJob): string {
  if (job.cancelled) return 'cancelled';
  if (job.finalizing) return 'its end being recorded';
  if (job.tearingDown) return 'its attempt being taken down';
  if (job.retryNotBefore > shardState.clock.now) return isSuspect(job) ? 'fails everywhere' : 'pause';
  const neededAtOnce = job.spec.shape === 'gang' ? waitingTaskCount(job) : 1;
  if (fitCount(job.spec, shardState.availableQuota(job.spec)) < neededAtOnce) return 'team limit';
  return 'machine';
}
