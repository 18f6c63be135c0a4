import type { JobSpec } from '../model/job.js';

/** What a machine says of itself, beyond its type and place. */
export type MachineAttributes = Record<string, string | number | boolean>;

/** What a job's expressions decide of machines. */
export interface MachineMatch {
  /** Its requirements hold on this machine. */
  allows(host: string): boolean;
  /** How much it likes this machine; among machines that the policy scores alike the highest goes first. */
  rank(host: string): number;
  /** Whether it likes any better than another. */
  readonly hasRank: boolean;
}

/** Holds machines' attributes and jobs' expressions against each other. Given to the core where there are any. */
export interface Matcher {
  /** null: the job asks for nothing of the kind. */
  matchFor(spec: JobSpec): MachineMatch | null;
  /** What a machine says of itself now; null: it is gone. */
  setAttributes(host: string, attributes: MachineAttributes | null): void;
}
