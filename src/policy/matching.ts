/** The core's interface to matchmaking between jobs' expressions and machines' attributes. It is implemented in `matching/`. */
import type { JobSpec } from '../model/job.js';

/** The attributes that a machine advertises, in addition to its type and zone. */
export type MachineAttributes = Record<string, string | number | boolean>;

/** The results of a job's expressions for each machine. */
export interface MachineMatch {
  /** Whether a machine meets the job's requirements. */
  allows(host: string): boolean;
  /** The job's preference for a machine; of machines with the same policy score, that with the highest rank is used first. */
  rank(host: string): number;
  /** Whether the job ranks machines at all. */
  readonly hasRank: boolean;
}

/** Evaluates jobs' expressions against machines' attributes. The core is given one only if machines have attributes. */
export interface Matcher {
  /** The match of a job; null if the job has no expressions. */
  matchFor(spec: JobSpec): MachineMatch | null;
  /** Replaces the attributes of a machine; null removes the machine. */
  setAttributes(host: string, attributes: MachineAttributes | null): void;
}
