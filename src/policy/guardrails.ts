import { isPremium, maxTasksPerZone, type JobSpec } from '../model/job.js';

/** The policy proposes; these decide. They hold whatever the policy says. */

/** Services and gangs stay off spot; others use it only if their job allows it. */
export const spotAllowed = (spec: JobSpec): boolean => spec.spot && !isPremium(spec);

/** At most this many of a team's running tasks may move in one window. */
export const migrationBudget = (share: number, tasks: number): number => Math.ceil(share * tasks);

/** A task must have been resident for a while before it moves. */
export const residentLongEnough = (residentS: number, residencyS: number): boolean => residentS >= residencyS;

/** Whether a zone may take one more task of a job, given how many are in each zone already. */
export function zoneAllows(spec: JobSpec, zone: string, tasksByZone: ReadonlyMap<string, number>): boolean {
  if (spec.zone !== null && spec.zone !== zone) return false;
  if (spec.oneZone) for (const [z, n] of tasksByZone) if (n > 0 && z !== zone) return false;
  if (spec.apart && (tasksByZone.get(zone) ?? 0) >= maxTasksPerZone(spec.tasks)) return false;
  return true;
}
