/** What agents report to controllers, and what controllers order them to do. `wire/` maps these to the protocol's names. */

/** What a task is doing on its machine. */
export type TaskPhase = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';

/**
 * Why a task ended. Of a gang: `peers`: another task of it is gone; `alone`: it was not complete in time. Starts that were
 * refused: `full`: too few free resources; `busy`: another attempt at the task is on the machine; `unknown`: no such job.
 */
export type ExitReason = 'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'full' | 'busy' | 'unknown';

/** The status of one attempt at a task on a machine. */
export interface TaskStatus {
  job: string;
  index: number;
  attempt: number;
  phase: TaskPhase;
  /** null: it has not ended. */
  exitReason: ExitReason | null;
  /** Whether its progress was saved when it was stopped. */
  saved: boolean;
}

/** A heartbeat of an agent: the machine it runs on, and the status of all tasks there. */
export interface Heartbeat {
  host: string;
  endpoint: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Incremented when the agent has lost its tasks: with its lease, or with its memory. */
  agentEpoch: number;
  /** Orders the heartbeats of one agent epoch. */
  sequence: number;
  /** The highest fencing token that the agent has seen. */
  fencingToken: number;
  /** The time until the machine is reclaimed, s; null: no notice was given. */
  noticeS: number | null;
  tasks: TaskStatus[];
}

/** What a controller orders an agent to do with an attempt at a task. */
export type TaskOrder =
  | { op: 'start'; job: string; index: number; attempt: number }
  | { op: 'stop'; job: string; index: number; attempt: number; graceS: number }
  | { op: 'forget'; job: string; index: number; attempt: number };
