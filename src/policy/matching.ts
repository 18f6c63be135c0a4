/** What the core needs of matchmaking between jobs' expressions and machines' attributes; implemented in `matching/`. */
import type { JobSpec } from '../model/job.js';

/** The attributes that a machine advertises, beyond its type and zone. */
export type MachineAttributes = Record<string, string | number | boolean>;

/** How a job's expressions evaluate on machines. */
export interface MachineMatch {
  /** Whether the job's requirements hold on this machine. */
  allows(host: string): boolean;
  /** The job's preference for this machine; among machines with the same policy score the highest goes first. */
  rank(host: string): number;
  /** Whether the job prefers any machine to another. */
  readonly hasRank: boolean;
}

/** Evaluates jobs' expressions against machines' attributes. The core gets one only where machines have attributes. */
export interface Matcher {
  /** The match of a job; null: it has no expressions. */
  matchFor(spec: JobSpec): MachineMatch | null;
  /** Replaces what a machine advertises; null: it is gone. */
  setAttributes(host: string, attributes: MachineAttributes | null): void;
}
