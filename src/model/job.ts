export type JobShape = 'array' | 'gang' | 'service';
export type Urgency = 'production' | 'high' | 'normal' | 'low';

/** What a user asked for; never changes after it was accepted. */
export interface JobSpec {
  id: string;
  class: string;
  team: string;
  shape: JobShape;
  urgency: Urgency;
  tasks: number;
  cpus: number;
  gpus: number;
  memGb: number;
  image: string;
  imageGb: number;
  /** Allowed machine types; null: any. */
  types: string[] | null;
  zone: string | null;
  oneZone: boolean;
  apart: boolean;
  spot: boolean;
  estimateS: number;
  checkpointS: number;
  saveS: number;
  /** Measured from submission; null: no deadline. */
  deadlineS: number | null;
  /** What its tasks run on an agent; without it they only stand for work. */
  command?: CommandSpec;
  /** What it asks of machines beyond their type and place. */
  match?: MatchSpec;
}

/** Expressions of the match language, as text. */
export interface MatchSpec {
  requirements: string | null;
  rank: string | null;
  /** The job's own attributes. */
  attributes: Record<string, string>;
}

/** A command as a user gives it; agents run it once for each task. */
export interface CommandSpec {
  argv: string[];
  env: Record<string, string>;
  /** Where it runs; null: in a directory of the task's own. */
  dir: string | null;
  /** Files for its output, relative to where it runs; null: files of the agent's. */
  stdout: string | null;
  stderr: string | null;
  /** How long it may run, s; null: as long as it takes. */
  wallS: number | null;
  /** How often a task that failed is tried again. */
  retries: number;
  /** Where tasks' numbers stand in it (see numbered.ts), they are counted from here. */
  first?: number;
}

export type JobState = 'open' | 'done' | 'cancelled';

/** HELIOS's premium tier: services and gangs. */
export const isPremium = (job: JobSpec): boolean => job.shape !== 'array';

export const urgencyRank: Record<Urgency, number> = { production: 3, high: 2, normal: 1, low: 0 };

export const taskKey = (job: string, index: number): string => `${job}/${index}`;

export function parseTaskKey(key: string): { job: string; index: number } | null {
  const at = key.lastIndexOf('/');
  const index = Number(key.slice(at + 1));
  if (at <= 0 || !Number.isSafeInteger(index) || index < 0) return null;
  return { job: key.slice(0, at), index };
}

/** The most tasks of a job that `apart` lets into one zone. */
export const maxTasksPerZone = (tasks: number): number => Math.ceil(tasks / 2);
