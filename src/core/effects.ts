import type { Demand, Turned } from '../admission/index.js';
import type { JobSpec } from '../model/job.js';
import type { MachineType } from '../model/machine.js';
import type { RecoveryRecords } from './recovery-records.js';
import type { TaskOrder, Heartbeat } from '../model/heartbeat.js';
import type { MachineAttributes } from '../policy/matching.js';
import type { Question } from '../freshness/index.js';
import type { ListedMachine, RentRequest } from '../wire/cloud.js';
import type { Change, Txn } from '../wire/store.js';

/** What a controller tells the others of itself. */
export interface Pulse {
  /** The newest revision that it knows of. */
  epoch: number;
  run: string;
  /** How busy it is, in thousandths of what it has. */
  busy: number;
  /** Its workers may stay at whoever they reach: their reports are to be relayed. */
  front: boolean;
  /** What it wants of the state service's writes, a second; null: it is of a program that does not say. */
  wants: Demand | null;
  /** The incarnation that it follows; 0: none. */
  inc: number;
  /** How many jobs it knows. */
  jobs: number;
}

/** What the adapters bring to the core. `rid` names a request that waits for its answer. */
export type Command =
  | { c: 'tick' }
  | { c: 'submit'; rid: number; spec: JobSpec }
  | { c: 'query'; rid: number; id: string }
  | { c: 'withdraw'; rid: number; id: string }
  | { c: 'checkin'; rid: number; report: Heartbeat; from?: string }
  | { c: 'relayed'; rid: number; status: number; body: object | string }
  | { c: 'pulse'; from: string; pulse: Pulse }
  /** Jobs that another controller has turned away. */
  | { c: 'turned'; list: Turned[] }
  /** What a peer wants to know, and what another has answered us. */
  | { c: 'asked'; from: string; question: Question }
  | { c: 'vouched'; from: string; run: string; question: Question; known: Change[] }
  /** What the process has been doing lately: share of its time, connections that are open, shares of memory and waiting room. */
  | { c: 'load'; busy: number; connections: number; memory?: number; waiting?: number }
  /** A peer's connection broke and a new one was refused at once. */
  | { c: 'peer-lost'; member: string }
  | { c: 'ordered'; host: string; report: Heartbeat | null }
  /** So many keys of the first reading are here. */
  | { c: 'reading'; keys: number }
  | { c: 'loaded'; items: Change[]; epoch: number }
  | { c: 'changes'; changes: Change[]; epoch: number }
  | { c: 'committed'; outcome: CommitOutcome }
  /** A part of what is stored; `epoch` null: no answer. */
  | { c: 'audited'; from: string; items: Change[]; more: boolean; epoch: number | null }
  | { c: 'epoch'; sentAt: number; epoch: number | null }
  | { c: 'leased'; hold: number | null }
  | { c: 'renewed'; hold: number; outcome: 'ok' | 'gone' | 'failed' }
  | { c: 'forget'; host: string }
  /** The process is to end: it hands on what it has first. */
  | { c: 'leave' }
  /** What a machine says of itself; null: it is gone. */
  | { c: 'attributes'; host: string; attributes: MachineAttributes | null }
  /** A gang that cannot succeed any more: what is left of it is stopped. */
  | { c: 'stop-gang'; id: string }
  | { c: 'types'; types: MachineType[] | null }
  | { c: 'rented'; request: RentRequest; outcome: { hosts: string[] } | 'none' | 'refused' | 'unknown' }
  | { c: 'deleted'; hosts: string[]; ok: boolean }
  | { c: 'listed'; machines: ListedMachine[] | null; askedAt: number };

export type CommitOutcome =
  | { r: 'ok'; epoch: number }
  | { r: 'conflict'; failed: string[]; epoch: number }
  /** Certainly not executed. */
  | { r: 'refused' }
  /** Certainly not executed: more was asked of the state service than it takes. */
  | { r: 'busy' }
  /** A state lease named in it is no more. Certainly not executed. */
  | { r: 'unleased' }
  | { r: 'malformed' }
  /** No answer: it may have been executed, or may be executed later. */
  | { r: 'unknown' };

/** What the core wants done. */
export type Effect =
  /** A body that is text already goes out as it is. */
  | { e: 'answer'; rid: number; status: number; body: object | string; retryAfterS?: number }
  | { e: 'commit'; txn: Txn }
  | { e: 'epoch' }
  | { e: 'catch-up'; epoch: number }
  /** Hand a worker's report to the controller that owns its machine; its answer comes as 'relayed'. */
  | { e: 'relay'; to: string; rid: number; report: Heartbeat }
  | { e: 'pulse'; pulse: Pulse }
  | { e: 'turned'; list: Turned[] }
  | { e: 'ask'; question: Question }
  | { e: 'vouch'; to: string; question: Question; known: Change[] }
  /** Read some keys behind this one. */
  | { e: 'audit'; from: string; keys: number }
  /** The state service has lost data: this controller is to begin anew with what it knew. */
  | { e: 'reborn'; recoveryRecords: RecoveryRecords }
  | { e: 'lease'; ttlMs: number }
  | { e: 'renew'; hold: number }
  | { e: 'unlease'; hold: number }
  | { e: 'types' }
  | { e: 'rent'; request: RentRequest }
  | { e: 'delete'; hosts: string[] }
  | { e: 'list' }
  | { e: 'order'; host: string; endpoint: string; token: number; session: number; orders: TaskOrder[] };

export interface Clock {
  /** Steady, ms. */
  now: number;
  /** Time of day, ms. */
  wall: number;
}

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';
export type Log = (level: LogLevel, message: string, fields?: Record<string, unknown>) => void;
