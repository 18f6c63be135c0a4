/** Gathers evidence that the state service has lost data, and tells when the state has been confirmed. */
import {
  comparePage,
  DataLossDetector,
  incarnationOf,
  maxIncarnations,
  type KeyPage,
  type KeyRevision,
} from '../../data-loss/index.js';
import type { Clock, Effect, PeerStatus } from '../effects.js';
import type { Peers } from '../peers.js';
import type { Replica } from '../replica.js';
import { jobKey } from '../storage/index.js';

/** How many keys one page of the audit reads, and the audit's share of the state service's requests. */
const auditPageKeys = 50;
const auditShare = 0.005;
/** How often the revision is read until the state is confirmed, in a state lease. */
const revisionReadsPerLease = 32;

const jobPrefix = jobKey('');

/** A suspected loss. */
export interface LossSuspicion {
  readonly reason: string;
  /** Another controller has opened an incarnation already: what this process knew belongs to the one before. */
  readonly joinsExisting: boolean;
}

/** What the monitor is created with. */
export interface DataLossMonitorOptions {
  readonly replica: Replica;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly stateLeaseMs: number;
  /** Whether there are other controllers by the settings. */
  readonly hasPeers: boolean;
  /** Requests per second that the state service takes. */
  readonly requestsPerS: number;
}

/** Compares everything that is heard of the state (readings, failed conditions, tokens, peers, an audit) with the replica. */
export class DataLossMonitor {
  private readonly detector = new DataLossDetector();
  private pendingSuspicion: LossSuspicion | null = null;
  private latestRead: { readonly sentAt: number; readonly revision: number } | null = null;
  /** The newest incarnation that a worker has a fencing token of. */
  private reportedIncarnation = 0;
  private lastAuditAt = -Infinity;
  private auditCursor = '';
  private auditInFlight = false;
  /** A page that waits until the watch has reached the revision it was read at. */
  private pendingAudit: KeyPage | null = null;
  private loadedAt = -1;
  private allPeersHeardAt = -1;
  private revisionRequestedAt = -Infinity;
  private confirmed = false;

  constructor(private readonly options: DataLossMonitorOptions) {}

  get suspicion(): LossSuspicion | null {
    return this.pendingSuspicion;
  }

  /** The next incarnation has to be at least this: workers have seen fencing tokens of it. */
  get minIncarnation(): number {
    return this.reportedIncarnation;
  }

  /**
   * Whether the state is known to be complete. A new process that comes to a state that has lost data knows of nothing else. The
   * others do, or notice by their next write: so the state is confirmed once all of them have reported what they follow and a
   * reading since agrees, or when none has contradicted it for a state lease.
   */
  get isConfirmed(): boolean {
    return this.confirmed;
  }

  /** Whether the revision is to be read now, so that the state can be confirmed. */
  get wantsRevisionRead(): boolean {
    const { clock, stateLeaseMs } = this.options;
    if (this.confirmed || this.allPeersHeardAt < 0) return false;
    if (clock.now - this.revisionRequestedAt < stateLeaseMs / revisionReadsPerLease) return false;
    this.revisionRequestedAt = clock.now;
    return true;
  }

  // ---- evidence ----

  /** A commit of ours was executed at this revision. */
  revisionReached(revision: number): void {
    this.detector.revisionReached(revision, this.options.clock.now);
  }

  /** The answer to a reading of the revision that was sent at `sentAt`; null: there was none. */
  revisionRead(sentAt: number, revision: number | null): void {
    if (revision === null) return;
    this.suspect(this.detector.revisionRead(sentAt, revision, this.currentIncarnation));
    this.latestRead = { sentAt, revision };
  }

  peerHeard(status: Pick<PeerStatus, 'incarnation' | 'revision' | 'jobCount'>): void {
    const { incarnation, revision, jobCount } = status;
    this.detector.peerReported(incarnation, revision, jobCount, this.options.clock.now);
  }

  /** A worker reports an attempt at a task; `lastRecorded`: the newest attempt that the state knows. */
  attemptReported(task: string, attempt: number, lastRecorded: number): void {
    if (attempt > lastRecorded)
      this.suspect(`a worker has ${task} in attempt ${attempt}, after ${lastRecorded}`);
  }

  /** Conditions of ours failed at this revision. */
  conditionsFailed(failed: readonly KeyRevision[], revision: number): void {
    // A key whose absence was the condition may have come and gone again.
    for (const f of failed) if (f.stamp > 0) this.detector.conditionFailed(f.key, f.stamp, revision);
  }

  /** A worker reports the newest fencing token that it has seen. */
  tokenReported(token: number): void {
    const incarnation = incarnationOf(token);
    // Guards against a worker that invents its token: no incarnation could go above it.
    if (token === 0 || incarnation > maxIncarnations) return;
    if (incarnation > this.currentIncarnation)
      this.reportedIncarnation = Math.max(this.reportedIncarnation, incarnation);
    this.suspect(this.detector.tokenReported(token, this.currentIncarnation, this.options.clock.now));
  }

  /** A complete reading: jobs are never removed, so one that it lacks was lost. */
  snapshotLoaded(items: readonly { readonly key: string }[], revision: number): void {
    const { replica } = this.options;
    if (replica.watchRevision < 0 || replica.incarnation === null) return;
    const present = new Set(items.map((i) => i.key));
    for (const { key, stamp } of replica.knownKeys())
      if (stamp <= revision && key.startsWith(jobPrefix) && !present.has(key))
        return this.suspect(`${key} is gone`);
  }

  /** Records a suspicion, unless there is one already. */
  suspect(reason: string | null, joinsExisting = false): void {
    if (reason !== null) this.pendingSuspicion ??= { reason, joinsExisting };
  }

  dismissSuspicion(): void {
    this.pendingSuspicion = null;
  }

  private get currentIncarnation(): number {
    return this.options.replica.incarnation?.number ?? 1;
  }

  // ---- the audit: the leader compares what is stored with the replica, page by page, again and again ----

  /** Requests the next page of the audit when it is due. */
  requestAudit(out: Effect[]): void {
    const { replica, clock, requestsPerS } = this.options;
    if (replica.incarnation?.stage !== 'whole' || this.auditInFlight || this.pendingAudit) return;
    if (clock.now - this.lastAuditAt < 1000 / (requestsPerS * auditShare)) return;
    this.lastAuditAt = clock.now;
    this.auditInFlight = true;
    out.push({ type: 'audit', from: this.auditCursor, keys: auditPageKeys });
  }

  /** A page of the audit was read; `revision` null: there was no answer. */
  auditPageRead(from: string, items: readonly KeyRevision[], more: boolean, revision: number | null): void {
    this.auditInFlight = false;
    if (revision === null) return;
    const to = more && items.length > 0 ? items[items.length - 1].key : null;
    this.pendingAudit = { from, to, items, revision };
    this.auditCursor = to ?? '';
  }

  // ---- evaluation ----

  /** Evaluates the evidence that the replica has caught up with. */
  evaluate(): void {
    const { replica, clock, peers } = this.options;
    const { watchRevision } = replica;
    this.detector.revisionReached(watchRevision, clock.now);
    this.suspect(this.detector.checkFailedConditions(watchRevision, (key) => replica.modRevisionOf(key)));
    if (this.pendingAudit && watchRevision >= this.pendingAudit.revision) {
      const page = this.pendingAudit;
      this.pendingAudit = null;
      this.suspect(comparePage(page, replica.knownKeys()));
    }
    if (this.loadedAt < 0) this.loadedAt = clock.now;
    if (this.allPeersHeardAt < 0 && peers.heardFromAll) this.allPeersHeardAt = clock.now;
    this.updateConfirmation(this.evaluateLatestRead());
  }

  /** When the reading that the replica has caught up with was sent; -1: there is none. */
  private evaluateLatestRead(): number {
    const { replica } = this.options;
    if (!this.latestRead || replica.watchRevision < this.latestRead.revision) return -1;
    const { sentAt, revision } = this.latestRead;
    this.latestRead = null;
    const { incarnation, jobCount } = replica;
    const isComplete = incarnation?.stage === 'whole';
    this.suspect(this.detector.checkPeers(sentAt, revision, incarnation?.number ?? 0, jobCount, isComplete));
    return sentAt;
  }

  private updateConfirmation(agreedReadSentAt: number): void {
    const { clock, stateLeaseMs, hasPeers } = this.options;
    const isUncontradicted = this.loadedAt >= 0 && clock.now - this.loadedAt > stateLeaseMs;
    const allAgree = this.allPeersHeardAt >= 0 && agreedReadSentAt > this.allPeersHeardAt;
    this.confirmed ||= isUncontradicted || !hasPeers || allAgree;
  }
}
