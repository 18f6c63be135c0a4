/** Opens incarnations of the state after a loss of data, and advances them through their stages. */
import { mergeRecords, type Incarnation, type IncarnationStage } from '../../data-loss/index.js';
import type { Settings } from '../../config/settings.js';
import type { Write } from '../../wire/store.js';
import type { Clock, Log } from '../effects.js';
import type { Peers } from '../peers.js';
import { leaderPlaceholder, storedRecordOf, type RecoveryRecords } from '../recovery-records.js';
import type { Replica } from '../replica.js';
import {
  incarnationData,
  incarnationKey,
  legacyLeaderKey,
  levelKey,
  machineTypesKey,
  parseKey,
  WritePriority,
  recordKindOf,
  type TransactionBatcher,
  type ParsedKey,
} from '../storage/index.js';

/** Before it opens an incarnation, a controller waits this many state leases for each controller that has newer records. */
const rankDelayLeases = 0.5;
/** A controller that opened an incarnation counts as lost after this many state leases without a message from it. */
const openerLostLeases = 2;
/**
 * Worker leases to wait for absent members before the state is declared complete. This is longer than task starts have to wait
 * in any case, and short enough that queries for jobs do not go unanswered for long.
 */
const absentMemberLeases = 2.5;

/** Records that are deleted when an incarnation is opened: members join again, and nobody acts on earlier grants. */
const recordKindsDeletedOnOpen: ReadonlySet<ParsedKey['kind']> = new Set([
  'node',
  'shard',
  'inc',
  'chief',
  'plan',
] as const);

/** Progress of restoring records. */
export interface RestoreProgress {
  readonly essentialsRestored: boolean;
  readonly isDone: boolean;
}

/** Dependencies and settings of the incarnation manager. */
export interface IncarnationManagerOptions {
  readonly settings: Settings;
  readonly instanceId: string;
  readonly replica: Replica;
  readonly batcher: TransactionBatcher;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly stateLeaseMs: number;
  /** The longest time for which workers may be answered from state before the loss, plus one worker lease, ms. */
  readonly staleAnswerWindowMs: number;
  readonly log: Log;
}

/**
 * Opens and advances incarnations. Every change is a conditional write, so that only one controller opens an incarnation and
 * only one advances it.
 */
export class IncarnationManager {
  /** The newest incarnation that this process has seen, and when it first saw it; number 0 if the state records none. */
  private newestSeen: { readonly number: number; readonly at: number } | null = null;
  private openerLastHeardAt = 0;
  private writeInFlight = false;

  constructor(private readonly options: IncarnationManagerOptions) {}

  /** The newest incarnation that this process has seen; 0 if none. */
  get newestSeenNumber(): number {
    return this.newestSeen?.number ?? 0;
  }

  /** Takes note of the recorded incarnation. Returns whether it replaced one that this process had followed. */
  observe(incarnation: Incarnation | null): boolean {
    if (incarnation === null) return false;
    const previous = this.newestSeen;
    if (previous !== null && incarnation.number <= previous.number) return false;
    this.newestSeen = { number: incarnation.number, at: this.options.clock.now };
    return previous !== null && previous.number > 0;
  }

  /** Writes the record of the first incarnation. */
  recordFirst(): void {
    this.write('first incarnation recorded', null, 1, 'whole', []);
  }

  /** Opens the next incarnation. The controller with the newest records goes first. */
  open(incarnation: Incarnation | null, known: RecoveryRecords): void {
    const { clock, peers, replica, stateLeaseMs } = this.options;
    this.newestSeen ??= { number: incarnation?.number ?? 0, at: clock.now };
    const rank = peers.countAhead(known.revision);
    if (clock.now - this.newestSeen.at < rank * rankDelayLeases * stateLeaseMs) return;
    const number = Math.max(incarnation?.number ?? 0, known.incarnation) + 1;
    const deletions = [...replica.knownKeys()]
      .filter(({ key }) => recordKindsDeletedOnOpen.has(parseKey(key)!.kind))
      .map(({ key }): Write => ({ key, data: undefined }));
    this.write('incarnation opened', incarnation, number, 'open', [
      ...deletions,
      ...this.legacyCompatibilityWrites(known),
    ]);
  }

  /** Records that programs older than the level must see first, so that they do not act on an empty state. */
  private legacyCompatibilityWrites({ records }: RecoveryRecords): Write[] {
    const { replica } = this.options;
    const placeholder = records.has(levelKey) ? { ...leaderPlaceholder } : undefined;
    const writes: Write[] = [];
    for (const key of [levelKey, legacyLeaderKey, machineTypesKey]) {
      const isLeader = key === legacyLeaderKey;
      const known = records.get(key) ?? (isLeader ? placeholder : undefined);
      if (!known) continue;
      const stored = isLeader ? undefined : storedRecordOf(replica, key);
      writes.push({ key, data: mergeRecords(recordKindOf(parseKey(key)!), stored, known) });
    }
    return writes;
  }

  /** Advances an incarnation to its next stage, as the controller that opened it or as its replacement. */
  advance(incarnation: Incarnation, restore: RestoreProgress): void {
    if (incarnation.stage === 'whole' || this.writeInFlight) return;
    const isOpenedByThisProcess = this.wasOpenedByThisProcess(incarnation);
    if (isOpenedByThisProcess || this.isOpenerHeard(incarnation))
      this.openerLastHeardAt = this.options.clock.now;
    if (!isOpenedByThisProcess) this.takeOverIfOpenerLost(incarnation, restore);
    else if (incarnation.stage === 'serving') this.completeIfRecovered(incarnation, restore);
    else if (restore.essentialsRestored)
      this.write('work resumed', incarnation, incarnation.number, 'serving', []);
  }

  private wasOpenedByThisProcess({ openedBy, instanceId }: Incarnation): boolean {
    return openedBy === this.options.settings.member && instanceId === this.options.instanceId;
  }

  private isOpenerHeard({ openedBy, instanceId }: Incarnation): boolean {
    return this.options.peers.instanceIdOf(openedBy) === instanceId;
  }

  private takeOverIfOpenerLost(incarnation: Incarnation, { isDone }: RestoreProgress): void {
    const { clock, stateLeaseMs } = this.options;
    const { number, stage } = incarnation;
    if (this.openerLastHeardAt === 0) this.openerLastHeardAt = clock.now;
    const isLost = clock.now - this.openerLastHeardAt > openerLostLeases * stateLeaseMs;
    // What the opener wrote is stored; anything else that it knew can only be restored by the other controllers.
    if (isLost && isDone) this.write('incarnation taken over', incarnation, number, stage, []);
  }

  /** Declares the state complete when every member has had time to restore the records that it knows. */
  private completeIfRecovered(incarnation: Incarnation, { isDone }: RestoreProgress): void {
    const { settings, replica, clock, peers, staleAnswerWindowMs, log } = this.options;
    const elapsedMs = clock.now - this.newestSeen!.at;
    if (!isDone || elapsedMs <= staleAnswerWindowMs) return;
    const members = [settings.member, ...settings.peers.map((p) => p.member)];
    const absent = members.filter((m) => !replica.presences.has(m));
    const waitedForAbsent = elapsedMs > absentMemberLeases * settings.workers.lease_s * 1000;
    const allJobsKnown = peers.maxJobCount <= replica.jobCount;
    if (!waitedForAbsent && (absent.length > 0 || !allJobsKnown)) return;
    if (absent.length > 0)
      log(
        'warn',
        'recovery completes without some members: records that only they know are missing until they return',
        {
          members: absent,
        },
      );
    this.write('data-loss recovery complete', incarnation, incarnation.number, 'whole', []);
  }

  private write(
    message: string,
    previous: Incarnation | null,
    number: number,
    stage: IncarnationStage,
    otherWrites: readonly Write[],
  ): void {
    if (this.writeInFlight) return;
    this.writeInFlight = true;
    const { settings, instanceId, replica, batcher, log } = this.options;
    const finish = (): void => void (this.writeInFlight = false);
    batcher.enqueue({
      priority: WritePriority.membership,
      build: () => {
        if ((replica.incarnation?.modRevision ?? 0) !== (previous?.modRevision ?? 0)) {
          finish();
          return null;
        }
        const data = incarnationData(settings.member, instanceId, stage);
        const writes = [...otherWrites, { key: incarnationKey(number), data }];
        return {
          conditions: writes.map((w) => ({ key: w.key, stamp: replica.modRevisionOf(w.key) })),
          writes,
        };
      },
      onCommitted: () => {
        finish();
        log('info', message, { incarnation: number, stage });
      },
      onConflict: finish,
    });
  }
}
