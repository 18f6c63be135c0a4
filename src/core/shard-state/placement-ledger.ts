/** The placements of this process's jobs, and what is counted by them. */
import { taskKey, urgencyRank } from '../../model/job.js';
import type { Clock } from '../effects.js';
import type { Replica } from '../replica.js';
import type { PlacementRecord } from '../storage/index.js';
import type { TeamQuotas } from './team-quotas.js';
import type { Placement, ScheduledJob, ScheduledMachine, TaskChunk } from './types.js';

/** Where the ledger finds jobs and machines, and what it keeps up to date. */
export interface LedgerContext {
  readonly jobs: ReadonlyMap<string, ScheduledJob>;
  readonly machines: ReadonlyMap<string, ScheduledMachine>;
  readonly quotas: TeamQuotas;
  readonly replica: Replica;
  readonly clock: Clock;
}

/** Enters and removes placements, and counts them by job, machine, team, zone and urgency. */
export class PlacementLedger {
  /** How many placements there are of each urgency's rank. */
  readonly countByUrgency = new Map<number, number>();
  /** Placements on machines that are not (yet) known, by host. */
  private readonly placementsOnUnknownHosts = new Map<string, Placement[]>();

  constructor(private readonly context: LedgerContext) {}

  /** Enters a placement. `placedByThisProcess`: it was decided here, so nobody else can have sent its start. */
  add(
    job: ScheduledJob,
    chunk: TaskChunk,
    { index, attempt, host }: PlacementRecord,
    placedByThisProcess: boolean,
  ): Placement {
    const { machines, replica, clock } = this.context;
    const machine = machines.get(host);
    const placement: Placement = {
      job,
      index,
      attempt,
      host,
      zone: (machine?.record ?? replica.machines.get(host))?.zone ?? null,
      chunk,
      chunkVersion: placedByThisProcess ? chunk.version : 0,
      placedByThisProcess,
      startSentWith: null,
      phase: 'placed',
      runningSince: 0,
      waitingSince: 0,
      placedAt: clock.now,
      stopRequest: null,
    };
    job.placements.set(index, placement);
    if (machine) machine.placements.set(taskKey(job.id, index), placement);
    else
      this.placementsOnUnknownHosts.set(host, [
        ...(this.placementsOnUnknownHosts.get(host) ?? []),
        placement,
      ]);
    this.updateCounts(placement, 1);
    return placement;
  }

  /** Removes a placement that counts no more. */
  remove(placement: Placement): void {
    placement.job.placements.delete(placement.index);
    this.removeFromMachine(placement);
  }

  /** Removes the placements of a job that this process handles no more. */
  removeAll(job: ScheduledJob): void {
    for (const placement of job.placements.values()) this.removeFromMachine(placement);
  }

  /** Whether a placement counts still, and its job is this process's. */
  isCurrent(placement: Placement): boolean {
    const { job, index } = placement;
    return job.placements.get(index) === placement && this.context.jobs.get(job.id) === job;
  }

  /** Takes the current placements on a machine that was not known, which is known now or gone. */
  takePlacementsOnUnknownHost(host: string): Placement[] {
    const placements = this.placementsOnUnknownHosts.get(host) ?? [];
    this.placementsOnUnknownHosts.delete(host);
    return placements.filter((placement) => this.isCurrent(placement));
  }

  private removeFromMachine(placement: Placement): void {
    const machine = this.context.machines.get(placement.host);
    machine?.placements.delete(taskKey(placement.job.id, placement.index));
    this.updateCounts(placement, -1);
  }

  private updateCounts({ job, host, zone }: Placement, sign: 1 | -1): void {
    const { spec } = job;
    const machine = this.context.machines.get(host);
    this.context.quotas.addUsage(spec, sign);
    if (machine) {
      machine.used.cpus += sign * spec.cpus;
      machine.used.gpus += sign * spec.gpus;
      machine.used.memGb += sign * spec.memGb;
    }
    const rank = urgencyRank[spec.urgency];
    this.countByUrgency.set(rank, (this.countByUrgency.get(rank) ?? 0) + sign);
    if (zone !== null) job.tasksByZone.set(zone, (job.tasksByZone.get(zone) ?? 0) + sign);
    else job.unknownZoneTasks += sign;
    if (machine && machine.placements.size === 0) machine.idleSince = this.context.clock.now;
  }
}
