/** The core's interface: commands that come in, effects that go out, and the clock and log that it is given. */
import type { MemberDemand, Rejection } from '../admission/index.js';
import type { JobSpec } from '../model/job.js';
import type { MachineType } from '../model/machine.js';
import type { RecoveryRecords } from './recovery-records.js';
import type { TaskOrder, Heartbeat } from '../model/heartbeat.js';
import type { MachineAttributes } from '../policy/matching.js';
import type { FreshnessQuery } from '../freshness/index.js';
import type { ListedMachine, RentalOutcome, RentRequest } from '../wire/cloud.js';
import type { Change, Transaction } from '../wire/store.js';

/** What a controller broadcasts to its peers. */
export interface PeerStatus {
  /** The newest revision that it knows of. */
  readonly revision: number;
  /** Identifies the process among all that have run under its member's name. */
  readonly instanceId: string;
  /** The share of its time that it is busy, in thousandths. */
  readonly utilizationPermille: number;
  /** Whether peers are asked to keep its workers that reach them, and to forward their heartbeats. */
  readonly wantsForwarding: boolean;
  /** The writes a second that it wants; null: its program does not report a demand. */
  readonly demand: MemberDemand | null;
  /** The incarnation of the state that it follows; 0: none. */
  readonly incarnation: number;
  /** How many jobs it knows. */
  readonly jobCount: number;
}

/** What the adapters bring to the core. `rid` names a request that waits for its answer. */
export type Command =
  | { type: 'tick' }
  | { type: 'submit'; requestId: number; spec: JobSpec }
  | { type: 'query'; requestId: number; id: string }
  | { type: 'cancel'; requestId: number; id: string }
  | { type: 'heartbeat'; requestId: number; report: Heartbeat; from?: string }
  | { type: 'forwarded-response'; requestId: number; status: number; body: object | string }
  | { type: 'peer-status'; from: string; status: PeerStatus }
  /** Jobs that another controller has turned away. */
  | { type: 'rejected-jobs'; list: Rejection[] }
  /** A peer's freshness query, and the answer of another to ours. */
  | { type: 'freshness-query'; from: string; query: FreshnessQuery }
  | { type: 'freshness-confirmed'; from: string; instanceId: string; query: FreshnessQuery; known: Change[] }
  /** What the process has been doing lately: share of its time, connections that are open, shares of memory and waiting room. */
  | { type: 'load'; busy: number; connections: number; memory?: number; waiting?: number }
  /** A peer's connection broke and a new one was refused at once. */
  | { type: 'peer-lost'; member: string }
  /** So many keys of the first reading are here. */
  | { type: 'snapshot-progress'; keys: number }
  | { type: 'snapshot-loaded'; items: Change[]; revision: number }
  | { type: 'changes'; changes: Change[]; revision: number }
  | { type: 'commit-result'; outcome: CommitOutcome }
  /** A part of what is stored; `epoch` null: no answer. */
  | { type: 'audit-result'; from: string; items: Change[]; more: boolean; revision: number | null }
  | { type: 'revision-read'; sentAt: number; revision: number | null }
  | { type: 'lease-granted'; leaseId: number | null }
  | { type: 'lease-renewal-result'; leaseId: number; outcome: 'ok' | 'gone' | 'failed' }
  | { type: 'forget-machine'; host: string }
  /** The process is to end: it hands on what it has first. */
  | { type: 'shut-down' }
  /** What a machine says of itself; null: it is gone. */
  | { type: 'machine-attributes'; host: string; attributes: MachineAttributes | null }
  /** A gang that cannot succeed any more: what is left of it is stopped. */
  | { type: 'stop-gang'; id: string }
  | { type: 'machine-types'; types: MachineType[] | null }
  | {
      type: 'rental-result';
      request: RentRequest;
      outcome: RentalOutcome;
    }
  | { type: 'deletion-result'; hosts: string[]; ok: boolean }
  | { type: 'machine-list'; machines: ListedMachine[] | null; askedAt: number };

/** What became of a transaction. */
export type CommitOutcome =
  | { type: 'ok'; revision: number }
  | { type: 'conflict'; failed: string[]; revision: number }
  /** Certainly not executed. */
  | { type: 'rejected' }
  /** Certainly not executed: more was asked of the state service than it takes. */
  | { type: 'rate-limited' }
  /** A state lease named in it is no more. Certainly not executed. */
  | { type: 'lease-expired' }
  | { type: 'malformed' }
  /** No answer: it may have been executed, or may be executed later. */
  | { type: 'unknown' };

/** What the core wants done. */
export type Effect =
  /** A body that is text already goes out as it is. */
  | { type: 'respond'; requestId: number; status: number; body: object | string; retryAfterS?: number }
  | { type: 'commit'; txn: Transaction }
  | { type: 'read-revision' }
  | { type: 'catch-up'; revision: number }
  /** Forwards a heartbeat to the owner of its machine; the answer comes as 'forwarded-response'. */
  | { type: 'forward-heartbeat'; to: string; requestId: number; report: Heartbeat }
  | { type: 'peer-status'; status: PeerStatus }
  | { type: 'rejected-jobs'; list: Rejection[] }
  | { type: 'query-freshness'; query: FreshnessQuery }
  | { type: 'confirm-freshness'; to: string; query: FreshnessQuery; known: Change[] }
  /** Read some keys behind this one. */
  | { type: 'audit'; from: string; keys: number }
  /** The state service has lost data: this controller is to begin anew with what it knew. */
  | { type: 'restart'; recoveryRecords: RecoveryRecords }
  | { type: 'grant-lease'; ttlMs: number }
  | { type: 'renew-lease'; leaseId: number }
  | { type: 'revoke-lease'; leaseId: number }
  | { type: 'list-machine-types' }
  | { type: 'rent-machines'; request: RentRequest }
  | { type: 'delete-machines'; hosts: string[] }
  | { type: 'list-machines' }
  | {
      type: 'send-task-commands';
      host: string;
      endpoint: string;
      token: number;
      session: number;
      orders: TaskOrder[];
    };

/** The clock readings of a step. */
export interface Clock {
  /** Steady, ms. */
  now: number;
  /** Time of day, ms. */
  wall: number;
}

/** Levels of log lines. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';
export type Log = (level: LogLevel, message: string, fields?: Record<string, unknown>) => void;
