export type TaskPhase = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';
export type ExitWhy = 'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'full' | 'busy' | 'unknown';

export interface TaskReport {
  job: string;
  index: number;
  attempt: number;
  phase: TaskPhase;
  why: ExitWhy | null;
  saved: boolean;
}

export interface Report {
  host: string;
  endpoint: string;
  type: string;
  zone: string;
  spot: boolean;
  session: number;
  seq: number;
  token: number;
  noticeS: number | null;
  tasks: TaskReport[];
}

export type Order =
  | { op: 'start'; job: string; index: number; attempt: number }
  | { op: 'stop'; job: string; index: number; attempt: number; graceS: number }
  | { op: 'forget'; job: string; index: number; attempt: number };
