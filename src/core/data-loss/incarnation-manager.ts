/** Opens incarnations of the state after a loss of data, and leads them through their stages. */
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

/** A controller waits for each other one that knows more, before it opens an incarnation itself: this share of a state lease. */
const rankDelayLeases = 0.5;
/** A controller that opened an incarnation and was not heard of for so many state leases is taken for lost. */
const openerLostLeases = 2;
/**
 * Absent members are waited for during so many worker leases before everything counts as found: longer than starts have to wait
 * in any case, and short enough that nobody who asks about a job stays without an answer for long.
 */
const absentMemberLeases = 2.5;

/** Records that a new incarnation starts without: members join anew, and nobody acts on grants from before. */
const kindsDroppedOnOpen: ReadonlySet<ParsedKey['kind']> = new Set([
  'node',
  'shard',
  'inc',
  'chief',
  'plan',
] as const);

/** How far the restoring of records is. */
export interface RestoreProgress {
  readonly essentialsRestored: boolean;
  readonly isDone: boolean;
}

/** What the incarnation manager is created with. */
export interface IncarnationManagerOptions {
  readonly settings: Settings;
  readonly instanceId: string;
  readonly replica: Replica;
  readonly batcher: TransactionBatcher;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly stateLeaseMs: number;
  /** The longest time for which workers may have been answered on state from before the loss, and then a worker's lease, ms. */
  readonly staleAnswerWindowMs: number;
  readonly log: Log;
}

/** Every change of an incarnation is a conditional write, so that one controller opens it and one advances it. */
export class IncarnationManager {
  /** The newest incarnation that this process has seen, and when it first did; number 0: the state names none. */
  private newestSeen: { readonly number: number; readonly at: number } | null = null;
  private openerHeardAt = 0;
  private writeInFlight = false;

  constructor(private readonly options: IncarnationManagerOptions) {}

  /** The newest incarnation that this process has seen; 0: none. */
  get newestSeenNumber(): number {
    return this.newestSeen?.number ?? 0;
  }

  /** Notes the incarnation that the state names now; whether it replaced one that this process had followed. */
  observe(incarnation: Incarnation | null): boolean {
    if (incarnation === null) return false;
    const previous = this.newestSeen;
    if (previous !== null && incarnation.number <= previous.number) return false;
    this.newestSeen = { number: incarnation.number, at: this.options.clock.now };
    return previous !== null && previous.number > 0;
  }

  /** Names the first incarnation. */
  nameFirst(): void {
    this.write('incarnation named', null, 1, 'whole', []);
  }

  /** Opens the next incarnation; the controller that knows most goes first. */
  open(incarnation: Incarnation | null, known: RecoveryRecords): void {
    const { clock, peers, replica, stateLeaseMs } = this.options;
    this.newestSeen ??= { number: incarnation?.number ?? 0, at: clock.now };
    const rank = peers.countAhead(known.revision);
    if (clock.now - this.newestSeen.at < rank * rankDelayLeases * stateLeaseMs) return;
    const number = Math.max(incarnation?.number ?? 0, known.incarnation) + 1;
    const deletions = [...replica.knownKeys()]
      .filter(({ key }) => kindsDroppedOnOpen.has(parseKey(key)!.kind))
      .map(({ key }): Write => ({ key, data: undefined }));
    this.write('incarnation opened', incarnation, number, 'open', [...deletions, ...this.levelWrites(known)]);
  }

  /** What programs from before the level must see before anything else, so that they do not act on an empty state. */
  private levelWrites({ records }: RecoveryRecords): Write[] {
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

  /** Leads an incarnation to its next stage, as the controller that opened it or in its place. */
  advance(incarnation: Incarnation, restore: RestoreProgress): void {
    if (incarnation.stage === 'whole' || this.writeInFlight) return;
    const isOpenedHere = this.isOpenedHere(incarnation);
    if (isOpenedHere || this.isOpenerHeard(incarnation)) this.openerHeardAt = this.options.clock.now;
    if (!isOpenedHere) this.takeOverIfOpenerLost(incarnation, restore);
    else if (incarnation.stage === 'serving') this.completeIfSettled(incarnation, restore);
    else if (restore.essentialsRestored)
      this.write('work resumed', incarnation, incarnation.number, 'serving', []);
  }

  private isOpenedHere({ openedBy, instanceId }: Incarnation): boolean {
    return openedBy === this.options.settings.member && instanceId === this.options.instanceId;
  }

  private isOpenerHeard({ openedBy, instanceId }: Incarnation): boolean {
    return this.options.peers.instanceIdOf(openedBy) === instanceId;
  }

  private takeOverIfOpenerLost(incarnation: Incarnation, { isDone }: RestoreProgress): void {
    const { clock, stateLeaseMs } = this.options;
    const { number, stage } = incarnation;
    if (this.openerHeardAt === 0) this.openerHeardAt = clock.now;
    const isLost = clock.now - this.openerHeardAt > openerLostLeases * stateLeaseMs;
    // What it has written is there; what it knew beyond that only the other controllers can know.
    if (isLost && isDone) this.write('incarnation taken over', incarnation, number, stage, []);
  }

  /** Declares the state complete when every member has had its time to restore what it knows. */
  private completeIfSettled(incarnation: Incarnation, { isDone }: RestoreProgress): void {
    const { settings, replica, clock, peers, staleAnswerWindowMs, log } = this.options;
    const elapsedMs = clock.now - this.newestSeen!.at;
    if (!isDone || elapsedMs <= staleAnswerWindowMs) return;
    const members = [settings.member, ...settings.peers.map((p) => p.member)];
    const absent = members.filter((m) => !replica.presences.has(m));
    const waitedForAbsent = elapsedMs > absentMemberLeases * settings.workers.lease_s * 1000;
    const allJobsKnown = peers.maxJobCount <= replica.jobCount;
    if (!waitedForAbsent && (absent.length > 0 || !allJobsKnown)) return;
    if (absent.length > 0)
      log('warn', 'not all members were there: what only they knew is lost until they come', {
        members: absent,
      });
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
