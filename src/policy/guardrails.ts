/** Guardrails: rules that placements and migrations proposed by the policy must meet, whatever their score. */
import { isPremium, maxTasksPerZone, type JobSpec } from '../model/job.js';

/** Whether a job may use spot machines: services and gangs never, arrays only if their specification allows it. */
export const spotAllowed = (spec: JobSpec): boolean => spec.spot && !isPremium(spec);

/** How many of the running tasks may be migrated within one time window. */
export const migrationBudget = (share: number, tasks: number): number => Math.ceil(share * tasks);

/** Whether a task has run on its machine long enough to be migrated. */
export const residentLongEnough = (residentS: number, minResidencyS: number): boolean =>
  residentS >= minResidencyS;

/** Whether a job's zone rules allow one more task in a zone, given the number of its tasks in each zone. */
export function zoneAllows(spec: JobSpec, zone: string, tasksByZone: ReadonlyMap<string, number>): boolean {
  if (spec.zone !== null && spec.zone !== zone) return false;
  if (spec.oneZone) for (const [z, n] of tasksByZone) if (n > 0 && z !== zone) return false;
  if (spec.apart && (tasksByZone.get(zone) ?? 0) >= maxTasksPerZone(spec.tasks)) return false;
  return true;
}
