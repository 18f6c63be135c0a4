/**
 * The description of jobs. Descriptions are stored as JSON in the state service: the names of their fields are part of the
 * stored format.
 */

/** `array`: independent tasks; `gang`: tasks that run only all together; `service`: tasks that run until cancelled. */
export type JobShape = 'array' | 'gang' | 'service';

/** Work of higher urgency is placed first, and may preempt work of lower urgency. */
export type Urgency = 'production' | 'high' | 'normal' | 'low';

/** What a user asked for; never changes after it was accepted. */
export interface JobSpec {
  readonly id: string;
  /** The class of work that it belongs to: objectives and statistics are kept by class. */
  readonly class: string;
  readonly team: string;
  readonly shape: JobShape;
  readonly urgency: Urgency;
  /** The number of its tasks. The resources below are those of one task. */
  readonly tasks: number;
  readonly cpus: number;
  readonly gpus: number;
  readonly memGb: number;
  /** The image that tasks run in, and its size. */
  readonly image: string;
  readonly imageGb: number;
  /** Allowed machine types; null: any. */
  readonly types: readonly string[] | null;
  /** The zone that its tasks must run in; null: any. */
  readonly zone: string | null;
  /** Whether all tasks must run in the same zone. */
  readonly oneZone: boolean;
  /** Whether tasks must be spread over zones. */
  readonly apart: boolean;
  /** Whether tasks may run on spot machines. */
  readonly spot: boolean;
  /** How long a task is estimated to run. */
  readonly estimateS: number;
  /** How often a running task saves a checkpoint; 0: it never does. */
  readonly checkpointS: number;
  /** How long a task that is stopped needs to save a checkpoint. */
  readonly saveS: number;
  /** Measured from submission; null: no deadline. */
  readonly deadlineS: number | null;
  /** The command that agents run for each task; without it tasks are simulated. */
  readonly command?: CommandSpec;
  /** What it requires and prefers of machines beyond type and zone. */
  readonly match?: MatchSpec;
}

/** Expressions of the match language, as text. */
export interface MatchSpec {
  readonly requirements: string | null;
  readonly rank: string | null;
  /** The job's own attributes, as expressions. */
  readonly attributes: Record<string, string>;
}

/** A command as a user gives it; agents run it once for each task. */
export interface CommandSpec {
  readonly argv: readonly string[];
  readonly env: Record<string, string>;
  /** The working directory; null: a directory of the task's own. */
  readonly dir: string | null;
  /** Files for the output, relative to the working directory; null: files that the agent keeps. */
  readonly stdout: string | null;
  readonly stderr: string | null;
  /** The limit of its run time, s; null: none. */
  readonly wallS: number | null;
  /** How often a failed task is retried. */
  readonly retries: number;
  /** The number of the first task, where the command contains task numbers (see `commandForTask`). */
  readonly first?: number;
}

/** The stored state of a job. */
export type JobState = 'open' | 'done' | 'cancelled';

/** HELIOS's premium tier: services and gangs. */
export const isPremium = (job: JobSpec): boolean => job.shape !== 'array';

/** Urgencies as numbers: higher goes first. */
export const urgencyRank: Readonly<Record<Urgency, number>> = { production: 3, high: 2, normal: 1, low: 0 };

/** The name of a task within the cluster. */
export const taskKey = (job: string, index: number): string => `${job}/${index}`;

/** The task that a name stands for; null: none. */
export function parseTaskKey(key: string): { job: string; index: number } | null {
  const slash = key.lastIndexOf('/');
  const index = Number(key.slice(slash + 1));
  if (slash <= 0 || !Number.isSafeInteger(index) || index < 0) return null;
  return { job: key.slice(0, slash), index };
}

/** How many tasks of a job that must be spread over zones (`apart`) one zone may have at most. */
export const maxTasksPerZone = (tasks: number): number => Math.ceil(tasks / 2);
