/** Workloads: the jobs of one team and class. */

/** What users of a team and class submit. */
export interface WorkloadDemand {
  readonly team: string;
  readonly class: string;
  /** Of the class within its team, by urgency. */
  readonly weight: number;
  /** Jobs a second. */
  readonly jobsPerS: number;
}

/** Workloads of one controller that an allocation names; the others share what is left as they come. */
export const maxNamedWorkloads = 16;

/** The name of a workload, in maps and in the stored allocation; with an empty class, that of a whole team. */
export const workloadKey = (team: string, jobClass: string): string => `${team} ${jobClass}`;
