/** Gathers evidence that the state service has lost data, and determines when the state is confirmed to be complete. */
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

/** Keys that one page of the audit reads. */
const auditPageKeys = 50;
/** The audit's share of the state service's requests. */
const auditShare = 0.005;
/** Revision reads per state lease until the state is confirmed. */
const revisionReadsPerLease = 32;

const jobPrefix = jobKey('');

/** A suspected loss. */
export interface LossSuspicion {
  readonly reason: string;
  /** Whether another controller has already opened an incarnation, so that this process's records belong to the previous one. */
  readonly joinsExisting: boolean;
}

/** Dependencies and settings of the monitor. */
export interface DataLossMonitorOptions {
  readonly replica: Replica;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly stateLeaseMs: number;
  /** Whether other controllers are configured. */
  readonly hasPeers: boolean;
  /** Requests per second that the state service accepts. */
  readonly requestsPerS: number;
}

/**
 * Compares all observations of the state (revision reads, failed conditions, fencing tokens, peers' reports, an audit) with the
 * replica.
 */
export class DataLossMonitor {
  private readonly detector = new DataLossDetector();
  private pendingSuspicion: LossSuspicion | null = null;
  private latestRead: { readonly sentAt: number; readonly revision: number } | null = null;
  /** The newest incarnation of which a worker has reported a fencing token. */
  private reportedIncarnation = 0;
  private lastAuditAt = -Infinity;
  private auditCursor = '';
  private auditInFlight = false;
  /** An audit page that waits until the watch has reached the revision at which the page was read. */
  private pendingAudit: KeyPage | null = null;
  private loadedAt = -1;
  private allPeersReportedAt = -1;
  private revisionRequestedAt = -Infinity;
  private confirmed = false;

  constructor(private readonly options: DataLossMonitorOptions) {}

  /** The suspected loss; null if there is none. */
  get suspicion(): LossSuspicion | null {
    return this.pendingSuspicion;
  }

  /** A lower bound for the next incarnation: workers have seen fencing tokens of this one. */
  get minNextIncarnation(): number {
    return this.reportedIncarnation;
  }

  /**
   * Whether the state is known to be complete. A process that starts after a loss of data cannot detect it, because it knows no
   * earlier state. The other controllers do, or detect the loss by their next write. The state is therefore confirmed once all of
   * them have reported the revision that they follow and a later read agrees, or once none has contradicted it for a state lease.
   */
  get isConfirmed(): boolean {
    return this.confirmed;
  }

  /** Whether the revision should be read now to confirm the state. A true result counts as a read that was sent. */
  get wantsRevisionRead(): boolean {
    const { clock, stateLeaseMs } = this.options;
    if (this.confirmed || this.allPeersReportedAt < 0) return false;
    if (clock.now - this.revisionRequestedAt < stateLeaseMs / revisionReadsPerLease) return false;
    this.revisionRequestedAt = clock.now;
    return true;
  }

  // ---- evidence ----

  /** Handles the result of a commit of this controller that was executed at this revision. */
  revisionReached(revision: number): void {
    this.detector.revisionReached(revision, this.options.clock.now);
  }

  /** Handles the response to a revision read that was sent at `sentAt`; `revision` is null if there was no response. */
  revisionRead(sentAt: number, revision: number | null): void {
    if (revision === null) return;
    this.suspect(this.detector.revisionRead(sentAt, revision, this.currentIncarnation));
    this.latestRead = { sentAt, revision };
  }

  /** Handles a status report of another controller. */
  peerReported(status: Pick<PeerStatus, 'incarnation' | 'revision' | 'jobCount'>): void {
    const { incarnation, revision, jobCount } = status;
    this.detector.peerReported(incarnation, revision, jobCount, this.options.clock.now);
  }

  /** Handles a worker's report of an attempt at a task; `lastRecorded` is the newest attempt that the state records. */
  attemptReported(task: string, attempt: number, lastRecorded: number): void {
    if (attempt > lastRecorded)
      this.suspect(
        `a worker reports ${task} in attempt ${attempt}, but the last recorded attempt is ${lastRecorded}`,
      );
  }

  /** Handles conditions of a commit of this controller that failed at this revision. */
  conditionsFailed(failed: readonly KeyRevision[], revision: number): void {
    // A key that was required to be absent may have been created and deleted again, so its failure proves nothing.
    for (const f of failed) if (f.stamp > 0) this.detector.conditionFailed(f.key, f.stamp, revision);
  }

  /** Handles a worker's report of the newest fencing token that it has seen. */
  tokenReported(token: number): void {
    const incarnation = incarnationOf(token);
    // Ignores a token that a faulty worker made up: no incarnation could be numbered above it.
    if (token === 0 || incarnation > maxIncarnations) return;
    if (incarnation > this.currentIncarnation)
      this.reportedIncarnation = Math.max(this.reportedIncarnation, incarnation);
    this.suspect(this.detector.tokenReported(token, this.currentIncarnation, this.options.clock.now));
  }

  /** Handles a complete read of the state. Job records are never removed, so a job that is missing from it was lost. */
  snapshotLoaded(items: readonly { readonly key: string }[], revision: number): void {
    const { replica } = this.options;
    if (replica.watchRevision < 0 || replica.incarnation === null) return;
    const present = new Set(items.map((i) => i.key));
    for (const { key, stamp } of replica.knownKeys())
      if (stamp <= revision && key.startsWith(jobPrefix) && !present.has(key))
        return this.suspect(`${key} is missing from a complete read of the state`);
  }

  /** Records a suspected loss, unless one is recorded already; a null reason is ignored. */
  suspect(reason: string | null, joinsExisting = false): void {
    if (reason !== null) this.pendingSuspicion ??= { reason, joinsExisting };
  }

  /** Discards the suspected loss. */
  dismissSuspicion(): void {
    this.pendingSuspicion = null;
  }

  private get currentIncarnation(): number {
    return this.options.replica.incarnation?.number ?? 1;
  }

  // ---- audit: the leader continually compares the stored keys with the replica, page by page ----

  /** Requests the next page of the audit when it is due. */
  requestAudit(out: Effect[]): void {
    const { replica, clock, requestsPerS } = this.options;
    if (replica.incarnation?.stage !== 'whole' || this.auditInFlight || this.pendingAudit) return;
    if (clock.now - this.lastAuditAt < 1000 / (requestsPerS * auditShare)) return;
    this.lastAuditAt = clock.now;
    this.auditInFlight = true;
    out.push({ type: 'audit', from: this.auditCursor, keys: auditPageKeys });
  }

  /** Handles a page of the audit; `revision` is null if there was no response. */
  auditPageRead(from: string, items: readonly KeyRevision[], more: boolean, revision: number | null): void {
    this.auditInFlight = false;
    if (revision === null) return;
    const to = more && items.length > 0 ? items[items.length - 1].key : null;
    this.pendingAudit = { from, to, items, revision };
    this.auditCursor = to ?? '';
  }

  // ---- evaluation ----

  /** Evaluates the evidence up to the revision that the replica has reached. */
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
    if (this.allPeersReportedAt < 0 && peers.heardFromAll) this.allPeersReportedAt = clock.now;
    this.updateConfirmation(this.evaluateLatestRead());
  }

  /** Evaluates the latest revision read once the replica has caught up with it. Returns when it was sent; -1 if there is none. */
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
    const allAgree = this.allPeersReportedAt >= 0 && agreedReadSentAt > this.allPeersReportedAt;
    this.confirmed ||= isUncontradicted || !hasPeers || allAgree;
  }
}
