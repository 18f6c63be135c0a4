/** Heartbeats of agents and the orders that controllers send them. `wire/` maps these types to the names of the protocol. */

/** What a task is doing on its machine. */
export type TaskPhase = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';

/**
 * Why a task ended. Gangs: `peers`: another task of the gang is gone; `alone`: the gang was not complete in time. Refused
 * starts: `full`: too few free resources; `busy`: another attempt of the task is on the machine; `unknown`: no such job.
 */
export type ExitReason = 'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'full' | 'busy' | 'unknown';

/** The status of one attempt of a task on a machine. */
export interface TaskStatus {
  job: string;
  index: number;
  attempt: number;
  phase: TaskPhase;
  /** null: the task has not ended. */
  exitReason: ExitReason | null;
  /** Whether the task's progress was saved when it was stopped. */
  saved: boolean;
}

/** A heartbeat of an agent: describes its machine and the status of all tasks on it. */
export interface Heartbeat {
  host: string;
  endpoint: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Incremented whenever the agent has lost its tasks, with its lease or with its stored state. */
  agentEpoch: number;
  /** Increases with each heartbeat of an agent epoch, so that outdated heartbeats are recognized. */
  sequence: number;
  /** The highest fencing token that the agent has seen. */
  fencingToken: number;
  /** Time until the cloud reclaims the machine, s; null: no notice was given. */
  noticeS: number | null;
  tasks: TaskStatus[];
}

/** An order of a controller to an agent about one attempt of a task. */
export type TaskOrder =
  | { op: 'start'; job: string; index: number; attempt: number }
  | { op: 'stop'; job: string; index: number; attempt: number; graceS: number }
  | { op: 'forget'; job: string; index: number; attempt: number };

/** An order that stops a task. */
export type StopOrder = Extract<TaskOrder, { op: 'stop' }>;

/**
 * An order that may be sent outside of heartbeat responses. Starts may not: the message may arrive late, when the task has ended or
 * runs elsewhere.
 */
export type DirectOrder = Exclude<TaskOrder, { op: 'start' }>;
