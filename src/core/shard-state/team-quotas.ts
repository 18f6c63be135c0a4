/** How much of its quota each team uses, and what of it is reserved. */
import type { Settings } from '../../config/settings.js';
import { urgencyRank, type JobSpec } from '../../model/job.js';
import type { Resources } from '../../model/machine.js';
import { teamQuota } from '../../policy/admission.js';

/** A part of a team's quota that is reserved for its more urgent work. */
export interface QuotaReservation {
  /** The rank of that work's urgency. */
  urgency: number;
  cpus: number;
  gpus: number;
  /** Tasks that machines could take beyond that. */
  tasks: number;
}

/** What a team's work is counted by. */
type TeamWork = Pick<JobSpec, 'team' | 'urgency'>;

/** The use of the teams' quotas by this process's jobs. */
export class TeamQuotas {
  /** What placed tasks take, by team. */
  readonly usageByTeam = new Map<string, Resources>();
  /** What gangs that found no capacity in the last scheduling cycle will take of their teams' quotas, by team. */
  reservations: ReadonlyMap<string, QuotaReservation> = new Map();
  /** Jobs of which it is not known what runs: they are counted in full. */
  private readonly unreadableJobs = new Map<string, JobSpec>();

  constructor(private readonly settings: Settings) {}

  /** Adds some tasks of a job to its team's usage; a negative number removes them. */
  addUsage(spec: JobSpec, tasks: number): void {
    let usage = this.usageByTeam.get(spec.team);
    if (!usage) this.usageByTeam.set(spec.team, (usage = { cpus: 0, gpus: 0, memGb: 0 }));
    usage.cpus += tasks * spec.cpus;
    usage.gpus += tasks * spec.gpus;
    usage.memGb += tasks * spec.memGb;
  }

  /** What work of a team may still take. Reserved quota is left to more urgent work, unless reservations are ignored. */
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

  /** Counts all tasks of a job: it is not known which of them run. */
  addUnreadableJob(id: string, spec: JobSpec): void {
    if (this.unreadableJobs.has(id)) return;
    this.unreadableJobs.set(id, spec);
    this.addUsage(spec, spec.tasks);
  }

  /** Whether a job is counted in full. */
  hasUnreadableJob(id: string): boolean {
    return this.unreadableJobs.has(id);
  }

  /** Counts a job in full no longer. */
  removeUnreadableJob(id: string): void {
    const spec = this.unreadableJobs.get(id);
    if (spec && this.unreadableJobs.delete(id)) this.addUsage(spec, -spec.tasks);
  }

  /** Counts the jobs of some teams in full no longer. */
  removeUnreadableJobsOf(isAffected: (team: string) => boolean): void {
    for (const [id, spec] of this.unreadableJobs) if (isAffected(spec.team)) this.removeUnreadableJob(id);
  }
}
