/**
 * The description of jobs. Descriptions are stored as JSON in the state service, so the names of their fields are part of the
 * stored format.
 */

/** `array`: independent tasks; `gang`: tasks that must all run at the same time; `service`: tasks that run until cancelled. */
export type JobShape = 'array' | 'gang' | 'service';

/** The priority of a job: jobs of higher urgency are placed first and may preempt those of lower urgency. */
export type Urgency = 'production' | 'high' | 'normal' | 'low';

/** A job as its user specified it. Immutable once the job is accepted. */
export interface JobSpec {
  readonly id: string;
  /** The class of the job: objectives and statistics are kept by class. */
  readonly class: string;
  readonly team: string;
  readonly shape: JobShape;
  readonly urgency: Urgency;
  /** The number of tasks. The resources below are those of one task. */
  readonly tasks: number;
  readonly cpus: number;
  readonly gpus: number;
  readonly memGb: number;
  /** The image that the tasks run in, and its size. */
  readonly image: string;
  readonly imageGb: number;
  /** Allowed machine types; null: any. */
  readonly types: readonly string[] | null;
  /** The zone that all tasks must run in; null: any. */
  readonly zone: string | null;
  /** Whether all tasks must run in the same zone. */
  readonly oneZone: boolean;
  /** Whether tasks must be spread over zones; see `maxTasksPerZone`. */
  readonly apart: boolean;
  /** Whether tasks may run on spot machines. */
  readonly spot: boolean;
  /** Estimated run time of a task. */
  readonly estimateS: number;
  /** Interval at which a running task saves checkpoints; 0: it saves none. */
  readonly checkpointS: number;
  /** Time that a task needs to save a checkpoint when it is stopped. */
  readonly saveS: number;
  /** Deadline, measured from submission; null: none. */
  readonly deadlineS: number | null;
  /** The command that agents run for each task; absent: tasks are simulated. */
  readonly command?: CommandSpec;
  /** Required and preferred attributes of machines, beyond type and zone. */
  readonly match?: MatchSpec;
}

/** Expressions of the match language (ClassAds), as text. */
export interface MatchSpec {
  readonly requirements: string | null;
  readonly rank: string | null;
  /** The job's own attributes, as expressions. */
  readonly attributes: Record<string, string>;
}

/** A command as the user specified it; agents run it once for each task. */
export interface CommandSpec {
  readonly argv: readonly string[];
  readonly env: Record<string, string>;
  /** The working directory; null: a separate directory for each task. */
  readonly dir: string | null;
  /** Output files, relative to the working directory; null: files that the agent manages. */
  readonly stdout: string | null;
  readonly stderr: string | null;
  /** Run time limit, s; null: none. */
  readonly wallS: number | null;
  /** Maximum number of retries of a failed task. */
  readonly retries: number;
  /** The number of the first task, if the command contains task numbers (see `commandForTask`). */
  readonly first?: number;
}

/** The stored state of a job. */
export type JobState = 'open' | 'done' | 'cancelled';

/** Whether a job belongs to the premium tier of the HELIOS policy: services and gangs. */
export const isPremium = (job: JobSpec): boolean => job.shape !== 'array';

/** Urgencies as numbers; higher ones are placed first. */
export const urgencyRank: Readonly<Record<Urgency, number>> = { production: 3, high: 2, normal: 1, low: 0 };

/** The cluster-wide unique name of a task. */
export const taskKey = (job: string, index: number): string => `${job}/${index}`;

/** Parses a name made by `taskKey`; null: it is malformed. */
export function parseTaskKey(key: string): { job: string; index: number } | null {
  const slash = key.lastIndexOf('/');
  const index = Number(key.slice(slash + 1));
  if (slash <= 0 || !Number.isSafeInteger(index) || index < 0) return null;
  return { job: key.slice(0, slash), index };
}

/** How many tasks of a job that must be spread over zones (`apart`) may run in the same zone. */
export const maxTasksPerZone = (tasks: number): number => Math.ceil(tasks / 2);
