/** Admission rules: which jobs the cluster can ever run, and how team quotas and guarantees apply to jobs. */
import type { Settings } from '../config/settings.js';
import type { JobSpec } from '../model/job.js';
import { fits, roundingTolerance, type MachineType, type Resources } from '../model/machine.js';

/** An amount of the resources that team quotas and guarantees cover; Infinity means unlimited. */
export type TeamQuota = Pick<Resources, 'cpus' | 'gpus'>;

const unlimitedIfUnset = (amount: number): number => (amount > 0 ? amount : Infinity);

/** The maximum that a team's tasks may use at the same time. */
export function teamQuota(settings: Settings, team: string): Readonly<TeamQuota> {
  const entry = settings.teams.find((t) => t.name === team);
  return { cpus: unlimitedIfUnset(entry?.cpus_max ?? 0), gpus: unlimitedIfUnset(entry?.gpus_max ?? 0) };
}

/** Whether a job allows a machine type, and one of its tasks fits an empty machine of that type. */
export const typeAllowed = (spec: JobSpec, type: MachineType): boolean =>
  (spec.types === null || spec.types.includes(type.name)) && fits(spec, type);

/** The reason why a job can never run, as text for its user; null if it can run. */
export function rejectionReason(
  spec: JobSpec,
  types: readonly MachineType[],
  settings: Settings,
): string | null {
  if (!settings.teams.some((t) => t.name === spec.team)) return `unknown team ${spec.team}`;
  if (spec.zone !== null && !settings.zones.includes(spec.zone)) return `unknown zone ${spec.zone}`;
  if (!types.some((t) => typeAllowed(spec, t) && (spec.zone === null || t.zones.includes(spec.zone))))
    return 'a task fits no allowed machine type';
  const simultaneousTasks = spec.shape === 'array' ? 1 : spec.tasks;
  const quota = teamQuota(settings, spec.team);
  if (
    spec.cpus * simultaneousTasks > quota.cpus + roundingTolerance ||
    spec.gpus * simultaneousTasks > quota.gpus + roundingTolerance
  )
    return 'needs more than the limit of its team';
  return null;
}

/**
 * The jobs that fit into their team's guarantee together with all earlier unfinished jobs of the team. They take precedence
 * over jobs of other teams.
 */
export function jobsWithinGuarantee<T extends { spec: JobSpec; acceptedAt: number; completedCount: number }>(
  jobs: Iterable<T>,
  settings: Settings,
): Set<T> {
  const remaining = new Map<string, TeamQuota>();
  for (const t of settings.teams)
    if (t.cpus > 0 || t.gpus > 0) remaining.set(t.name, { cpus: t.cpus, gpus: t.gpus });
  const within = new Set<T>();
  if (remaining.size === 0) return within;
  const byAge = [...jobs]
    .filter((j) => remaining.has(j.spec.team))
    .sort((a, b) => a.acceptedAt - b.acceptedAt);
  for (const job of byAge) {
    const guarantee = remaining.get(job.spec.team)!;
    const tasks = job.spec.tasks - job.completedCount;
    guarantee.cpus -= tasks * job.spec.cpus;
    guarantee.gpus -= tasks * job.spec.gpus;
    if (guarantee.cpus >= -roundingTolerance && guarantee.gpus >= -roundingTolerance) within.add(job);
  }
  return within;
}
