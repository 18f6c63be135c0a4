export type TaskPhase = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
export type ExitReason = 'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'full' | 'busy' | 'unknown';

export interface TaskStatus {
  job: string;
  index: number;
  attempt: number;
  phase: TaskPhase;
  exitReason: ExitReason | null;
  saved: boolean;
}

export interface Heartbeat {
  host: string;
  endpoint: string;
  type: string;
  zone: string;
  spot: boolean;
  agentEpoch: number;
  sequence: number;
  fencingToken: number;
  noticeS: number | null;
  tasks: TaskStatus[];
}

export type TaskOrder =
  | { op: 'start'; job: string; index: number; attempt: number }
  | { op: 'stop'; job: string; index: number; attempt: number; graceS: number }
  | { op: 'forget'; job: string; index: number; attempt: number };
