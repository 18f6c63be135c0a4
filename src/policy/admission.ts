import type { Settings } from '../config/settings.js';
import type { JobSpec } from '../model/job.js';
import { fits, type MachineType } from '../model/machine.js';

export interface Cap {
  cpus: number;
  gpus: number;
}

const cap = (x: number): number => (x > 0 ? x : Infinity);

/** The most a team's tasks may use at any time. */
export function teamCap(settings: Settings, team: string): Cap {
  const t = settings.teams.find((x) => x.name === team);
  return { cpus: cap(t?.cpus_max ?? 0), gpus: cap(t?.gpus_max ?? 0) };
}

export const typeAllowed = (spec: JobSpec, type: MachineType): boolean =>
  (spec.types === null || spec.types.includes(type.name)) && fits(spec, type);

/** Why a job can never run, or null. */
export function admissible(spec: JobSpec, types: MachineType[], settings: Settings): string | null {
  if (!settings.teams.some((t) => t.name === spec.team)) return `unknown team ${spec.team}`;
  if (spec.zone !== null && !settings.zones.includes(spec.zone)) return `unknown zone ${spec.zone}`;
  if (!types.some((t) => typeAllowed(spec, t) && (spec.zone === null || t.zones.includes(spec.zone))))
    return 'a task fits no allowed machine type';
  const together = spec.shape === 'array' ? 1 : spec.tasks;
  const limit = teamCap(settings, spec.team);
  if (spec.cpus * together > limit.cpus + 1e-6 || spec.gpus * together > limit.gpus + 1e-6)
    return 'needs more than the limit of its team';
  return null;
}

/**
 * The jobs that fit into their team's guarantee together with the team's earlier unfinished jobs: these need not wait
 * for other teams.
 */
export function withinGuarantee<T extends { spec: JobSpec; at: number; done: number }>(
  jobs: Iterable<T>,
  settings: Settings,
): Set<T> {
  const left = new Map<string, Cap>();
  for (const t of settings.teams)
    if (t.cpus > 0 || t.gpus > 0) left.set(t.name, { cpus: t.cpus, gpus: t.gpus });
  const inside = new Set<T>();
  if (left.size === 0) return inside;
  const byAge = [...jobs].filter((j) => left.has(j.spec.team)).sort((a, b) => a.at - b.at);
  for (const job of byAge) {
    const team = left.get(job.spec.team)!;
    const tasks = job.spec.tasks - job.done;
    team.cpus -= tasks * job.spec.cpus;
    team.gpus -= tasks * job.spec.gpus;
    if (team.cpus >= -1e-6 && team.gpus >= -1e-6) inside.add(job);
  }
  return inside;
}
