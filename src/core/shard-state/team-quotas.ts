/** The usage of each team's quota, and the reservations against it. */
import type { Settings } from '../../config/settings.js';
import { urgencyRank, type JobSpec } from '../../model/job.js';
import type { Resources } from '../../model/machine.js';
import { teamQuota } from '../../policy/admission.js';

/** A part of a team's quota that is reserved for its more urgent work. */
export interface QuotaReservation {
  /** The urgency rank of the work that it is reserved for. */
  urgency: number;
  cpus: number;
  gpus: number;
  /** How many more tasks may be added to the reservation: the machines could not hold more. */
  tasks: number;
}

/** The properties of work that decide how much of the team's quota is available to it. */
type TeamWork = Pick<JobSpec, 'team' | 'urgency'>;

/** The usage of the teams' quotas by the jobs in this process's shards. */
export class TeamQuotas {
  /** The resources that placed tasks use, by team. */
  readonly usageByTeam = new Map<string, Resources>();
  /** Quota reserved for gangs that found no capacity in the last scheduling cycle, by team. */
  reservations: ReadonlyMap<string, QuotaReservation> = new Map();
  /** Jobs with unreadable records. It is unknown which of their tasks run, so all of their tasks count as usage. */
  private readonly unreadableJobs = new Map<string, JobSpec>();

  constructor(private readonly settings: Settings) {}

  /** Adds a number of a job's tasks to its team's usage; a negative number subtracts them. */
  addUsage(spec: JobSpec, tasks: number): void {
    let usage = this.usageByTeam.get(spec.team);
    if (!usage) this.usageByTeam.set(spec.team, (usage = { cpus: 0, gpus: 0, memGb: 0 }));
    usage.cpus += tasks * spec.cpus;
    usage.gpus += tasks * spec.gpus;
    usage.memGb += tasks * spec.memGb;
  }

  /**
   * The resources that work of a team may still take. Quota that is reserved for more urgent work is not available, unless
   * reservations are ignored.
   */
  available({ team, urgency }: TeamWork, ignoreReservations = false): Resources {
    const quota = teamQuota(this.settings, team);
    const usage = this.usageByTeam.get(team);
    const reservation = ignoreReservations ? undefined : this.reservations.get(team);
    const reserved = reservation && reservation.urgency > urgencyRank[urgency] ? reservation : null;
    return {
      cpus: quota.cpus - (usage?.cpus ?? 0) - (reserved?.cpus ?? 0),
      gpus: quota.gpus - (usage?.gpus ?? 0) - (reserved?.gpus ?? 0),
      memGb: Infinity,
    };
  }

  /** Counts all tasks of a job as usage, because it is unknown which of them run. */
  addUnreadableJob(id: string, spec: JobSpec): void {
    if (this.unreadableJobs.has(id)) return;
    this.unreadableJobs.set(id, spec);
    this.addUsage(spec, spec.tasks);
  }

  /** Whether all tasks of a job count as usage because its records cannot be read. */
  hasUnreadableJob(id: string): boolean {
    return this.unreadableJobs.has(id);
  }

  /** Stops counting all tasks of a job as usage. */
  removeUnreadableJob(id: string): void {
    const spec = this.unreadableJobs.get(id);
    if (spec && this.unreadableJobs.delete(id)) this.addUsage(spec, -spec.tasks);
  }

  /** Stops counting all tasks as usage for the unreadable jobs of the teams that `isAffected` selects. */
  removeUnreadableJobsOf(isAffected: (team: string) => boolean): void {
    for (const [id, spec] of this.unreadableJobs) if (isAffected(spec.team)) this.removeUnreadableJob(id);
  }
}
