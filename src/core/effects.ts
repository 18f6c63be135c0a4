/**
 * The interface of the controller core: the commands that it handles, the effects that it requests, and the clock and logger that
 * it is given.
 */
import type { MemberDemand, Rejection } from '../admission/index.js';
import type { JobSpec } from '../model/job.js';
import type { MachineType } from '../model/machine.js';
import type { RecoveryRecords } from './recovery-records.js';
import type { DirectOrder, Heartbeat } from '../model/heartbeat.js';
import type { MachineAttributes } from '../policy/matching.js';
import type { FreshnessQuery } from '../freshness/index.js';
import type { ListedMachine, RentalOutcome, RentRequest } from '../wire/cloud.js';
import type { Change, Transaction } from '../wire/store.js';

/** The status that a controller broadcasts to its peers. */
export interface PeerStatus {
  /** The newest revision of the state service that the controller knows of. */
  readonly revision: number;
  /** Identifies the controller process; each start under the same member name has a new one. */
  readonly instanceId: string;
  /** The share of time that the controller is busy, in thousandths. */
  readonly utilizationPermille: number;
  /** Whether peers are asked to accept heartbeats of this controller's workers and forward them, instead of redirecting the workers. */
  readonly wantsForwarding: boolean;
  /** The writes per second that the controller needs; null if its program version does not report a demand. */
  readonly demand: MemberDemand | null;
  /** The incarnation of the stored state that the controller follows; 0 if none. */
  readonly incarnation: number;
  /** The number of jobs that the controller knows. */
  readonly jobCount: number;
}

/** Input of the core, delivered by the adapters. `requestId` identifies a request whose response is still due. */
export type Command =
  | { type: 'tick' }
  | { type: 'submit'; requestId: number; spec: JobSpec }
  | { type: 'query'; requestId: number; id: string }
  | { type: 'cancel'; requestId: number; id: string }
  | { type: 'heartbeat'; requestId: number; report: Heartbeat; from?: string }
  | { type: 'forwarded-response'; requestId: number; status: number; body: object | string }
  | { type: 'peer-status'; from: string; status: PeerStatus }
  /** Jobs that another controller has rejected. */
  | { type: 'rejected-jobs'; list: Rejection[] }
  /** A peer's freshness query, and a peer's answer to a query of this controller. */
  | { type: 'freshness-query'; from: string; query: FreshnessQuery }
  | { type: 'freshness-confirmed'; from: string; instanceId: string; query: FreshnessQuery; known: Change[] }
  /**
   * The recent load of the process: the share of time that it was busy, the number of open connections, and the shares of the memory
   * limit and of the submission queue that are in use.
   */
  | { type: 'load'; busy: number; connections: number; memory?: number; waiting?: number }
  /** The connection to a peer broke, and a new connection was refused immediately. */
  | { type: 'peer-lost'; member: string }
  /** The number of keys of the initial snapshot that have been read so far. */
  | { type: 'snapshot-progress'; keys: number }
  | { type: 'snapshot-loaded'; items: Change[]; revision: number }
  /** Changes delivered by the watch of the state service, up to a revision. */
  | { type: 'changes'; changes: Change[]; revision: number }
  | { type: 'commit-result'; outcome: CommitOutcome }
  /** A page of the stored records, read for the audit; `revision` is null if the request got no answer. */
  | { type: 'audit-result'; from: string; items: Change[]; more: boolean; revision: number | null }
  | { type: 'revision-read'; sentAt: number; revision: number | null }
  | { type: 'lease-granted'; leaseId: number | null }
  | { type: 'lease-renewal-result'; leaseId: number; outcome: 'ok' | 'gone' | 'failed' }
  | { type: 'forget-machine'; host: string }
  /** The process is to shut down gracefully: it first hands over what it owns. */
  | { type: 'shut-down' }
  /** The attributes that a machine reports; null if the machine is gone. */
  | { type: 'machine-attributes'; host: string; attributes: MachineAttributes | null }
  /** A gang that can no longer succeed: its remaining tasks are stopped. */
  | { type: 'stop-gang'; id: string }
  | { type: 'machine-types'; types: MachineType[] | null }
  | {
      type: 'rental-result';
      request: RentRequest;
      outcome: RentalOutcome;
    }
  | { type: 'deletion-result'; hosts: string[]; ok: boolean }
  | { type: 'machine-list'; machines: ListedMachine[] | null; askedAt: number };

/** The outcome of a transaction. */
export type CommitOutcome =
  | { type: 'ok'; revision: number }
  | { type: 'conflict'; failed: string[]; revision: number }
  /** Definitely not executed. */
  | { type: 'rejected' }
  /** Definitely not executed: the request rate exceeds the limit of the state service. */
  | { type: 'rate-limited' }
  /** Definitely not executed: a state lease that the transaction refers to has expired. */
  | { type: 'lease-expired' }
  | { type: 'malformed' }
  /** No answer: the transaction may have been executed, or may still be executed later. */
  | { type: 'unknown' };

/** Output of the core: an action for the adapters to perform. */
export type Effect =
  /** Responds to a request. A string body is sent unchanged. */
  | { type: 'respond'; requestId: number; status: number; body: object | string; retryAfterS?: number }
  | { type: 'commit'; txn: Transaction }
  /** Reads the current revision of the state service; the result arrives as a 'revision-read' command. */
  | { type: 'read-revision' }
  /** Makes the watch of the state service reach a revision without delay. */
  | { type: 'catch-up'; revision: number }
  /** Forwards a heartbeat to the owner of its machine; the response arrives as a 'forwarded-response' command. */
  | { type: 'forward-heartbeat'; to: string; requestId: number; report: Heartbeat }
  | { type: 'peer-status'; status: PeerStatus }
  | { type: 'rejected-jobs'; list: Rejection[] }
  | { type: 'query-freshness'; query: FreshnessQuery }
  /** Answers a peer's freshness query with the changes that the peer lacks. */
  | { type: 'confirm-freshness'; to: string; query: FreshnessQuery; known: Change[] }
  /** Reads a page of up to `keys` stored records that follow the key `from`. */
  | { type: 'audit'; from: string; keys: number }
  /** The state service has lost data: the core is to be restarted with the records that this controller knew. */
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
      orders: DirectOrder[];
    };

/** The clock readings of one step. */
export interface Clock {
  /** Monotonic time, ms. */
  now: number;
  /** Wall-clock time, ms. */
  wall: number;
}

/** The severity of a log line. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';
/** Writes a log line with optional structured fields. */
export type Log = (level: LogLevel, message: string, fields?: Record<string, unknown>) => void;
