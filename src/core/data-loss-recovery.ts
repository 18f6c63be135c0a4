/** Notices that the state service has lost data, and brings back what controllers still know. */
import type { Settings } from '../config/settings.js';
import type { Data } from '../formats/index.js';
import {
  incarnationOf,
  maxIncarnations,
  mergeRecords,
  sameRecord,
  DataLossDetector,
  comparePage,
  type Incarnation,
  type IncarnationStage,
} from '../data-loss/index.js';
import { features } from '../feature-levels/index.js';
import type { Write } from '../wire/store.js';
import {
  type Committer,
  incarnationData,
  incarnationKey,
  levelKey,
  Rank,
  parseKey,
  recordKindOf,
} from './storage/index.js';
import type { Clock, Effect, Log, PeerStatus } from './effects.js';
import {
  leaderPlaceholder,
  storedRecordOf,
  isFinishedJob,
  collectRecoveryRecords,
  type RecoveryRecords,
} from './recovery-records.js';
import type { Peers } from './peers.js';
import type { Replica } from './replica.js';

/** So many records are on their way at a time. */
const maxWritesInFlight = 48;
/** Pages of the audit: keys in one, and their share of the state service's requests. */
const auditPageKeys = 50;
const auditShare = 0.005;
/** Of the state lease: how long whoever knows less waits for whoever knows more to open, and how often is looked. */
const rankDelayLeases = 0.5;
/** Whoever opened and was not heard of for so many state leases is taken to be gone. */
const openerLostLeases = 2;
/**
 * Members that are not there are waited for during so many worker leases before all counts as found: longer than starts have
 * to wait in any case, and short enough that nobody who asks about a job stays without an answer for long.
 */
const absentMemberLeases = 2.5;

/**
 * Notices that the state service has lost data, and brings back what is known. A controller that notices begins anew with what
 * it knew (its legacy); one opens another incarnation by a conditional write, everybody writes what the state lacks, and work
 * goes on. Every write is on condition of the incarnation: whoever has not joined it can do nothing.
 */
export class DataLossRecovery {
  private readonly detector = new DataLossDetector();
  /** Why; `joins`: another has opened an incarnation, so what this process knew is of the one before. */
  private suspicion: { reason: string; joinsExisting: boolean } | null = null;
  /** What still has to be given; null: nothing (any more). */
  private pendingRecords: [string, Data][] | null;
  private restoredCount = 0;
  private writesInFlight = 0;
  private transitionInFlight = false;
  private incarnationSeen: { n: number; at: number } | null = null;
  private openerHeardAt = 0;
  private lastAuditAt = -Infinity;
  private auditCursor = '';
  private auditInFlight = false;
  private pendingAudit: {
    from: string;
    to: string | null;
    items: { key: string; stamp: number }[];
    epoch: number;
  } | null = null;
  private progressLoggedAt = -Infinity;

  constructor(
    private readonly settings: Settings,
    private readonly run: string,
    private readonly replica: Replica,
    private readonly batcher: Committer,
    private readonly peers: Peers,
    private readonly clock: Clock,
    private readonly ttlMs: number,
    /** How long a controller may answer workers without having confirmed its view, and then a worker's lease, ms. */
    private readonly staleAnswerWindowMs: number,
    private recoveryRecords: RecoveryRecords | null,
    private readonly log: Log,
  ) {
    this.pendingRecords = recoveryRecords ? [...recoveryRecords.records] : null;
    this.recoveredJobCount = [...(recoveryRecords?.records.keys() ?? [])].filter((key) =>
      key.startsWith('dp/j/'),
    ).length;
  }

  /** Whether anybody may act: write, grant, start, rent, return, answer workers. */
  get mayAct(): boolean {
    return this.essentialsRestored && this.replica.incarnation?.stage !== 'open';
  }

  /** Whether all that others need to act has been given of what this process knew; jobs that are over follow. */
  get essentialsRestored(): boolean {
    return this.recoveryRecords === null || this.essentialsWritten;
  }
  private essentialsWritten = false;

  /** Jobs that this process knows, also those that it has still to give. */
  get jobCount(): number {
    return Math.max(this.replica.jobCount, this.recoveredJobCount);
  }
  private readonly recoveredJobCount: number;

  /**
   * Whether a job that is not there was never accepted. What may be running somewhere is known then, too: it has been told, or
   * its lease has ended.
   */
  get canConfirmAbsence(): boolean {
    if (!this.mayAct || (this.replica.incarnation?.stage ?? 'whole') !== 'whole') return false;
    return this.confirmed;
  }

  /**
   * A process that comes to a state that has lost data knows of nothing else. The others do, or notice by their next write: so
   * it is sure only once all of them have told what they follow and a reading since agrees, or when none has said otherwise
   * for a state lease.
   */
  private confirm(agreedAt: number): void {
    const { now } = this.clock;
    const patient = this.loadedAt >= 0 && now - this.loadedAt > this.ttlMs;
    this.confirmed ||=
      patient ||
      this.settings.peers.length === 0 ||
      (this.allPeersHeardAt >= 0 && agreedAt > this.allPeersHeardAt);
  }

  get wantsRevisionRead(): boolean {
    const { now } = this.clock;
    if (this.confirmed || this.allPeersHeardAt < 0 || now - this.revisionRequestedAt < this.ttlMs / 32)
      return false;
    this.revisionRequestedAt = now;
    return true;
  }
  private revisionRequestedAt = -Infinity;
  private allPeersHeardAt = -1;
  private confirmed = false;
  private loadedAt = -1;

  // ---- noticing ----

  revisionReached(epoch: number): void {
    this.detector.revisionReached(epoch, this.clock.now);
  }

  revisionRead(sentAt: number, epoch: number | null): void {
    if (epoch === null) return;
    this.suspect(this.detector.revisionRead(sentAt, epoch, this.replica.incarnation?.number ?? 1));
    this.lastRead = { sentAt, epoch };
  }
  private lastRead: { sentAt: number; epoch: number } | null = null;

  peerHeard({
    incarnation,
    revision,
    jobCount,
  }: Pick<PeerStatus, 'incarnation' | 'revision' | 'jobCount'>): void {
    this.detector.peerReported(incarnation, revision, jobCount, this.clock.now);
  }

  /** A worker reports an attempt that is above all that are recorded. */
  attemptReported(piece: string, attempt: number, last: number): void {
    if (attempt > last) this.suspect(`a worker has ${piece} in attempt ${attempt}, after ${last}`);
  }

  conditionsFailed(failed: { key: string; stamp: number }[], epoch: number): void {
    // A key that was not to be there may have come and gone again.
    for (const f of failed) if (f.stamp > 0) this.detector.conditionFailed(f.key, f.stamp, epoch);
  }

  tokenReported(token: number): void {
    const n = this.replica.incarnation?.number ?? 1;
    // Guards against a worker that makes its token up: no incarnation could go above it.
    if (token === 0 || incarnationOf(token) > maxIncarnations) return;
    if (incarnationOf(token) > n) this.minIncarnation = Math.max(this.minIncarnation, incarnationOf(token));
    this.suspect(this.detector.tokenReported(token, n, this.clock.now));
  }
  /** A worker has seen this incarnation. */
  private minIncarnation = 0;

  /** A whole reading: jobs are never removed, so one that is not there any more was lost. */
  snapshotLoaded(items: readonly { key: string }[], epoch: number): void {
    if (this.replica.watchRevision < 0 || this.replica.incarnation === null) return;
    const there = new Set(items.map((i) => i.key));
    for (const { key, stamp } of this.replica.knownKeys())
      if (stamp <= epoch && key.startsWith('dp/j/') && !there.has(key)) return this.suspect(`${key} is gone`);
  }

  auditPageRead(
    from: string,
    items: { key: string; stamp: number }[],
    more: boolean,
    epoch: number | null,
  ): void {
    this.auditInFlight = false;
    if (epoch === null) return;
    const to = more && items.length > 0 ? items[items.length - 1].key : null;
    this.pendingAudit = { from, to, items, epoch };
    this.auditCursor = to ?? '';
  }

  private suspect(reason: string | null, joinsExisting = false): void {
    if (reason !== null && this.suspicion === null) this.suspicion = { reason, joinsExisting };
  }

  /** As the leader: looks at a part of what is stored, again and again. */
  requestAudit(out: Effect[]): void {
    const { now } = this.clock;
    if (this.replica.incarnation?.stage !== 'whole' || this.auditInFlight || this.pendingAudit) return;
    if (now - this.lastAuditAt < 1000 / (this.settings.state.rps * auditShare)) return;
    this.lastAuditAt = now;
    this.auditInFlight = true;
    out.push({ type: 'audit', from: this.auditCursor, keys: auditPageKeys });
  }

  /** True: this controller begins anew, with what it knew. */
  detect(out: Effect[]): boolean {
    const { replica, detector: witness } = this;
    if (replica.watchRevision < 0) return false;
    witness.revisionReached(replica.watchRevision, this.clock.now);
    this.suspect(witness.checkFailedConditions(replica.watchRevision, (key) => replica.modRevisionOf(key)));
    if (this.pendingAudit && replica.watchRevision >= this.pendingAudit.epoch) {
      const page = this.pendingAudit;
      this.pendingAudit = null;
      this.suspect(comparePage(page, replica.knownKeys()));
    }
    const { incarnation: inc } = replica;
    if (this.loadedAt < 0) this.loadedAt = this.clock.now;
    if (this.allPeersHeardAt < 0 && this.peers.heardFromAll) this.allPeersHeardAt = this.clock.now;
    if (this.lastRead && replica.watchRevision >= this.lastRead.epoch) {
      const { sentAt, epoch } = this.lastRead;
      this.lastRead = null;
      this.suspect(
        witness.checkPeers(sentAt, epoch, inc?.number ?? 0, replica.jobCount, inc?.stage === 'whole'),
      );
      this.confirm(sentAt);
    } else this.confirm(-1);
    if (
      inc &&
      this.incarnationSeen &&
      inc.number > this.incarnationSeen.n &&
      this.recoveryRecords === null &&
      this.incarnationSeen.n > 0
    )
      this.suspect(`incarnation ${inc.number} was opened by ${inc.openedBy}`, true);
    if (inc && (this.incarnationSeen === null || inc.number > this.incarnationSeen.n))
      this.incarnationSeen = { n: inc.number, at: this.clock.now };
    // Until the state says which incarnation it is, nothing can be told from what it was.
    const { levels } = replica;
    const unnamed =
      levels.state.modRevision === 0 && levels.ownCapabilities.maxLevel >= features.incarnations.level;
    // Below that level there are programs beside this one that could not join.
    if (this.suspicion !== null && (levels.isEnabled('incarnations') || this.recoveryRecords || unnamed)) {
      const n = Math.max(
        this.incarnationSeen?.n ?? 0,
        this.recoveryRecords?.incarnation ?? 0,
        this.minIncarnation,
      );
      const { reason: why, joinsExisting: joins } = this.suspicion;
      const was = joins ? n - 1 : n;
      this.log('error', 'state service has lost data', { why, incarnation: was });
      out.push({
        type: 'restart',
        recoveryRecords: collectRecoveryRecords(replica, this.recoveryRecords, was, why),
      });
      return true;
    }
    this.suspicion = null;
    return false;
  }

  // ---- bringing back ----

  tick(mayLead: boolean): void {
    if (this.replica.watchRevision < 0) return;
    const { incarnation: inc } = this.replica;
    if (this.recoveryRecords !== null) {
      if (inc === null || inc.number <= this.recoveryRecords.incarnation) return this.openIncarnation(inc);
      this.restorePending();
    }
    if (inc === null) {
      // The first one, once all controllers know what it is.
      if (mayLead && this.replica.levels.isEnabled('incarnations'))
        this.writeIncarnation('incarnation named', null, 1, 'whole', []);
      return;
    }
    this.advanceStage(inc);
  }

  /** Opens another incarnation, whoever knows most first. */
  private openIncarnation(inc: Incarnation | null): void {
    const recoveryRecords = this.recoveryRecords!;
    const { now } = this.clock;
    this.incarnationSeen ??= { n: inc?.number ?? 0, at: now };
    const rank = this.peers.countAhead(recoveryRecords.revision);
    if (now - this.incarnationSeen.at < rank * rankDelayLeases * this.ttlMs) return;
    const n = Math.max(inc?.number ?? 0, recoveryRecords.incarnation) + 1;
    // Whoever was there before has to come again; and programs from before must not act on an empty state.
    const drops = [...this.replica.knownKeys()]
      .map(({ key }) => key)
      .filter((key) => /^dp\/(node|shard|inc)\//.test(key) || key === 'dp/chief' || key === 'dp/plan')
      .map((key): Write => ({ key, data: undefined }));
    const level = recoveryRecords.records.get(levelKey);
    const first = ['dp/level', 'dp/lead', 'dp/kinds'].flatMap((key): Write[] => {
      const data =
        recoveryRecords.records.get(key) ??
        (key === 'dp/lead' && level ? { ...leaderPlaceholder } : undefined);
      return data
        ? [
            {
              key,
              data: mergeRecords(
                recordKindOf(parseKey(key)!),
                key === 'dp/lead' ? undefined : storedRecordOf(this.replica, key),
                data,
              ),
            },
          ]
        : [];
    });
    this.writeIncarnation('incarnation opened', inc, n, 'open', [...drops, ...first]);
  }

  /** Writes what the state lacks of what this controller knew. */
  private restorePending(): void {
    const { now } = this.clock;
    if (this.pendingRecords === null) return;
    // Guards against tasks whose workers' leases end while jobs that are over are brought back: those come last.
    this.essentialsWritten ||=
      this.writesInFlight === 0 &&
      (this.pendingRecords.length === 0 || isFinishedJob(...this.pendingRecords[0]));
    const wait = !this.essentialsWritten || this.replica.incarnation?.stage === 'open';
    while (this.writesInFlight < maxWritesInFlight && this.pendingRecords.length > 0) {
      if (wait && isFinishedJob(...this.pendingRecords[0])) break;
      const [key, data] = this.pendingRecords.shift()!;
      if (this.missingPart(key, data)) this.restoreRecord(key, data);
    }
    if (now - this.progressLoggedAt > this.ttlMs) {
      this.progressLoggedAt = now;
      this.log('info', 'rebuilding', {
        left: this.pendingRecords.length,
        given: this.restoredCount,
        stage: this.replica.incarnation?.stage,
      });
    }
    if (this.pendingRecords.length > 0 || this.writesInFlight > 0) return;
    this.log('info', 'all given', { records: this.recoveryRecords!.records.size, given: this.restoredCount });
    this.recoveryRecords = this.pendingRecords = null;
  }

  private missingPart(key: string, data: Data): Data | null {
    const there = storedRecordOf(this.replica, key);
    const merged = mergeRecords(recordKindOf(parseKey(key)!), there, data);
    return there !== undefined && sameRecord(there, merged) ? null : merged;
  }

  private restoreRecord(key: string, data: Data): void {
    this.writesInFlight++;
    const again = (): void => {
      this.writesInFlight--;
      this.pendingRecords?.unshift([key, data]);
    };
    this.batcher.enqueue({
      priority: isFinishedJob(key, data) ? Rank.cleanup : Rank.membership,
      build: () => {
        // Looked at again: others give, too.
        const now = this.pendingRecords === null ? null : this.missingPart(key, data);
        if (now === null) {
          this.writesInFlight--;
          return null;
        }
        return {
          conditions: [{ key, stamp: this.replica.modRevisionOf(key) }],
          writes: [{ key, data: now }],
        };
      },
      onCommitted: () => {
        this.writesInFlight--;
        this.restoredCount++;
      },
      onConflict: again,
    });
  }

  /** As whoever opened it, or in its place: the stages of an incarnation. */
  private advanceStage(inc: Incarnation): void {
    if (inc.stage === 'whole' || this.transitionInFlight) return;
    const { now } = this.clock;
    const mine = inc.openedBy === this.settings.member && inc.instanceId === this.run;
    if (mine || this.peers.instanceIdOf(inc.openedBy) === inc.instanceId) this.openerHeardAt = now;
    if (!mine) {
      if (this.openerHeardAt === 0) this.openerHeardAt = now;
      const gone = now - this.openerHeardAt > openerLostLeases * this.ttlMs;
      // Its part is gone on with: what it has written is there, what it knew beyond that only others can know.
      if (gone && this.pendingRecords === null)
        this.writeIncarnation('incarnation taken over', inc, inc.number, inc.stage, []);
      return;
    }
    if (inc.stage === 'open') {
      if (this.essentialsRestored) this.writeIncarnation('work goes on', inc, inc.number, 'serving', []);
      return;
    }
    const sinceMs = now - this.incarnationSeen!.at;
    const members = [this.settings.member, ...this.settings.peers.map((p) => p.member)];
    const all = members.every((m) => this.replica.presences.has(m));
    const patient = sinceMs > absentMemberLeases * this.settings.workers.lease_s * 1000;
    const known = this.peers.maxJobCount <= this.replica.jobCount;
    if (this.pendingRecords === null && sinceMs > this.staleAnswerWindowMs && (patient || (all && known))) {
      if (!all)
        this.log('warn', 'not all members were there: what only they knew is lost until they come', {
          members: members.filter((m) => !this.replica.presences.has(m)),
        });
      this.writeIncarnation('rebuilt', inc, inc.number, 'whole', []);
    }
  }

  private writeIncarnation(
    what: string,
    inc: Incarnation | null,
    n: number,
    stage: IncarnationStage,
    more: Write[],
  ): void {
    if (this.transitionInFlight) return;
    this.transitionInFlight = true;
    const done = (): void => void (this.transitionInFlight = false);
    const stamp = inc?.modRevision ?? 0;
    this.batcher.enqueue({
      priority: Rank.membership,
      build: () => {
        if ((this.replica.incarnation?.modRevision ?? 0) !== stamp) {
          done();
          return null;
        }
        const apply = [
          ...more,
          { key: incarnationKey(n), data: incarnationData(this.settings.member, this.run, stage) },
        ];
        return {
          conditions: apply.map((w) => ({ key: w.key, stamp: this.replica.modRevisionOf(w.key) })),
          writes: apply,
        };
      },
      onCommitted: () => {
        done();
        this.log('info', what, { incarnation: n, stage });
      },
      onConflict: done,
    });
  }
}
