import type { JobSpec } from '../model/job.js';

/** What a machine says of itself, beyond its type and place. */
export type Attributes = Record<string, string | number | boolean>;

/** What a job's expressions decide of machines. */
export interface Match {
  /** Its requirements hold on this machine. */
  allows(host: string): boolean;
  /** How much it likes this machine; among machines that the policy scores alike the highest goes first. */
  rank(host: string): number;
  /** Whether it likes any better than another. */
  readonly ranks: boolean;
}

/** Holds machines' attributes and jobs' expressions against each other. Given to the core where there are any. */
export interface Matcher {
  /** null: the job asks for nothing of the kind. */
  of(spec: JobSpec): Match | null;
  /** What a machine says of itself now; null: it is gone. */
  set(host: string, attributes: Attributes | null): void;
}
