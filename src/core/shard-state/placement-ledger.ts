/** The placements of the jobs in this process's shards, and the counters derived from them. */
import { taskKey, urgencyRank } from '../../model/job.js';
import type { Clock } from '../effects.js';
import type { Replica } from '../replica.js';
import type { PlacementRecord } from '../storage/index.js';
import { isPlaced } from './jobs.js';
import type { TeamQuotas } from './team-quotas.js';
import type { Placement, ScheduledJob, ScheduledMachine, TaskChunk } from './types.js';

/** Where the ledger looks up jobs and machines, and the quota usage that it keeps up to date. */
export interface LedgerContext {
  readonly jobs: ReadonlyMap<string, ScheduledJob>;
  readonly machines: ReadonlyMap<string, ScheduledMachine>;
  readonly quotas: TeamQuotas;
  readonly replica: Replica;
  readonly clock: Clock;
}

/** Adds and removes placements, and keeps usage and counts by job, machine, team, zone and urgency. */
export class PlacementLedger {
  /** The number of placements by urgency rank. */
  readonly countByUrgency = new Map<number, number>();
  /** Placements on hosts for which no machine of this process's shards is known (yet), by host. */
  private readonly placementsOnUnknownHosts = new Map<string, Placement[]>();

  constructor(private readonly context: LedgerContext) {}

  /**
   * Adds a placement to its job and machine. `placedByThisProcess`: it was decided by this process, so no other controller can
   * have sent its start.
   */
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
    else this.addOnUnknownHost(placement);
    this.updateCounts(placement, 1);
    return placement;
  }

  /** Removes a placement from its job and machine. */
  remove(placement: Placement): void {
    placement.job.placements.delete(placement.index);
    this.removeFromMachine(placement);
  }

  /** Removes the placements of a job that this process no longer handles from their machines and from all counts. */
  removeAll(job: ScheduledJob): void {
    for (const placement of job.placements.values()) this.removeFromMachine(placement);
  }

  /** Whether a placement has not been removed and this process still handles its job. */
  isCurrent(placement: Placement): boolean {
    const { job } = placement;
    return isPlaced(placement) && this.context.jobs.get(job.id) === job;
  }

  /** Forgets the placements on an unknown host that has become known or is gone, and returns those that are still current. */
  takePlacementsOnUnknownHost(host: string): Placement[] {
    const placements = this.placementsOnUnknownHosts.get(host) ?? [];
    this.placementsOnUnknownHosts.delete(host);
    return placements.filter((placement) => this.isCurrent(placement));
  }

  private addOnUnknownHost(placement: Placement): void {
    const onHost = this.placementsOnUnknownHosts.get(placement.host);
    if (onHost) onHost.push(placement);
    else this.placementsOnUnknownHosts.set(placement.host, [placement]);
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
