/** Workloads: the jobs of one team and class. */

/** The demand of one workload. */
export interface WorkloadDemand {
  readonly team: string;
  readonly class: string;
  /** The weight of the class within its team, by urgency. */
  readonly weight: number;
  /** Submitted jobs per second. */
  readonly jobsPerS: number;
}

/** The most workloads per controller that an allocation lists. The others share the rest in the order of arrival. */
export const maxNamedWorkloads = 16;

/** The key of a workload in maps and in the stored allocation; with an empty class, the key of a whole team. */
export const workloadKey = (team: string, jobClass: string): string => `${team} ${jobClass}`;
