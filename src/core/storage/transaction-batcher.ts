/** The write budget: groups changes into transactions by rank, and finds out what became of each. */
import { RateMeter } from '../../admission/index.js';
import type { Condition, Transaction, Write } from '../../wire/store.js';
import { encodeTransaction } from '../../wire/store.js';
import { RetryBackoff, backoffDelayMs, type Random, type RetryPolicy } from '../../retry/index.js';
import type { CommitOutcome, Effect, Log } from '../effects.js';
import { incarnationKey, incarnationPrefix, levelKey } from './keys.js';
import type { Replica } from '../replica.js';

/** What waits first when the state service's budget is short. */
export const enum WritePriority {
  membership,
  user,
  /** Placements of urgent work. */
  urgent,
  task,
  provisioning,
  cleanup,
}

/** A wish to change some keys together. Intents share transactions; each learns its own outcome. */
export interface PendingWrite {
  priority: WritePriority;
  /** BuiltWrite as late as possible; null: no longer wanted. */
  build(): Transaction | null;
  onCommitted(revision: number): void;
  /** Some of its conditions did not hold; the state was newer than `epoch` then. */
  onConflict(failedKeys: string[], revision: number): void;
  /** Certainly not executed. True: give it up; otherwise it is tried again. */
  onUnavailable?(): boolean;
}

/** Conditions that a transaction may have for each operation (PROTOCOL). */
export const conditionsPerOperation = 4;

interface BuiltWrite {
  pending: PendingWrite;
  transaction: Transaction;
}

export interface BatchLimits {
  maxOperations: number;
  maxConditions: number;
  maxBytes: number;
  /** Puts and deletes per second that the state service takes from all controllers together. */
  writesPerS: number;
  /** Controllers that share them. */
  controllers: number;
}

/** How the share of the common budget, or of its part of it, that a controller takes rises, and falls when refused. */
const additiveIncrease = 0.02;
const multiplicativeDecrease = 0.7;
const maxBudgetShare = 0.9;
const minHealth = 0.3;
/** What the ranks get of the budget while all of them wait; what one does not use goes to the others, by rank. */
const priorityWeights: Record<WritePriority, number> = {
  [WritePriority.membership]: 20,
  [WritePriority.user]: 12,
  [WritePriority.urgent]: 4,
  [WritePriority.task]: 4,
  [WritePriority.provisioning]: 3,
  [WritePriority.cleanup]: 1,
};

/**
 * Groups intents into transactions, one in flight at a time. When no answer comes, the same transaction is
 * sent until there is one: its conditions make sure that it takes effect once at most, and the writer's
 * mark in each value tells whether an earlier sending did it.
 *
 * Each is on condition that the level in force is the one it was built at: nobody writes an old format after a switch or a
 * new one before it, however late a transaction is carried out.
 */
export class TransactionBatcher {
  /** Intents that wait, by rank, each in order of arrival. */
  private readonly queues: PendingWrite[][] = Array.from({ length: WritePriority.cleanup + 1 }, () => []);
  private inFlight: { built: BuiltWrite[]; txn: Transaction; mark: string; unsure: boolean } | null = null;
  private unresolvedConflict: { epoch: number; failed: string[] } | null = null;
  /** Only presence and what brings back lost data is written. */
  suspended = false;
  /** Told of conditions of ours that failed. */
  onConditionsFailed: (failed: Condition[], epoch: number) => void = () => undefined;
  /** Nothing is built before the view has reached this revision: it brought another level. */
  private blockedUntilRevision = -1;
  private isSent = true;
  private resendAt = 0;
  private readonly retries: RetryBackoff;
  private tokens: number;
  private refilledAt = -1;
  private sequence = 0;
  private lastSentAt = -Infinity;
  private sendsSingly = false;
  private readonly taskWrites = new RateMeter(3000);
  /** Its part of the writes, if they are divided; and the share of it that the state service let it have of late. */
  private allocatedWritesPerS: number | null = null;
  health = 1;
  /** Writes per second found by trying, where nothing is divided. */
  private probedWritesPerS: number;
  /** What each rank has coming from transactions in which it got less than its share. */
  private readonly deficits: number[] = this.queues.map(() => 0);

  constructor(
    private readonly instanceId: string,
    private readonly limits: BatchLimits,
    private readonly replica: Replica,
    private readonly retryPolicy: RetryPolicy,
    private readonly random: Random,
    private readonly log: Log,
  ) {
    this.retries = new RetryBackoff(retryPolicy, random);
    // Not knowing what the others need, each begins with more than an equal share.
    this.probedWritesPerS =
      limits.controllers > 1 ? limits.writesPerS / 2 : limits.writesPerS * maxBudgetShare;
    this.tokens = this.writesPerS;
  }

  enqueue(pending: PendingWrite): void {
    this.queues[pending.priority].push(pending);
  }

  /** Submissions that may be handed over now: few, so that who goes next is decided as late as possible. */
  get userCapacity(): number {
    // Guards against a crowd that is handed over while a commit is under way: whoever comes meanwhile would wait behind it.
    if (this.inFlight) return 0;
    return Math.max(
      0,
      Math.min(this.limits.maxOperations, Math.floor(this.tokens)) - this.queues[WritePriority.user].length,
    );
  }

  /** What waits of all but users. */
  private get queuedTaskWrites(): number {
    return this.queues.reduce((n, q, rank) => (rank === WritePriority.user ? n : n + q.length), 0);
  }

  /** Writes a second for all but users: those of late, and those that wait. */
  taskWriteDemand(now: number): number {
    return this.taskWrites.rate(now) + this.queuedTaskWrites / 2;
  }

  /** Less than half a second's worth of writes is left. */
  get isBudgetLow(): boolean {
    return this.tokens < this.writesPerS / 2;
  }

  /** How long what waits to be written for accepted work will take, s. */
  get backlogS(): number {
    return this.queuedTaskWrites / Math.max(1, this.writesPerS);
  }

  /** What this controller may write, a second, as the division among all has it. */
  setAllocation(writesPerS: number): void {
    this.allocatedWritesPerS = writesPerS;
  }

  get pendingCount(): number {
    return this.queues.reduce((n, q) => n + q.length, this.inFlight?.built.length ?? 0);
  }

  tick(now: number, effects: Effect[]): void {
    if (this.refilledAt < 0) this.refilledAt = now;
    // Guards against a part of less than one write a second, with which there would never be a whole one.
    this.tokens = Math.min(
      Math.max(1, this.writesPerS),
      this.tokens + ((now - this.refilledAt) / 1000) * this.writesPerS,
    );
    this.refilledAt = now;
    if (this.inFlight) {
      if (this.unresolvedConflict) {
        if (this.replica.watchRevision >= this.unresolvedConflict.epoch)
          this.resolveConflict(this.unresolvedConflict.failed, this.unresolvedConflict.epoch);
      } else if (!this.isSent && now >= this.resendAt) this.send(now, effects);
    }
    if (this.inFlight || now < this.resendAt || this.tokens < 1) return;
    if (this.replica.watchRevision < this.blockedUntilRevision) return;
    if (this.replica.levels.mustStandBy || this.suspended) this.rejectUserWrites();
    const first = this.queues.findIndex((q) => q.length > 0);
    if (first < 0) return;
    // Nothing that users wait for: let a few changes gather.
    if (first >= WritePriority.task && now - this.lastSentAt < 100) return;
    this.buildTransaction(now, effects);
  }

  /** Older than what is in force: users are told to come later, and nothing but our presence is written. */
  private rejectUserWrites(): void {
    for (const pending of this.queues[WritePriority.user].splice(0))
      if (!(pending.onUnavailable?.() ?? false)) this.enqueue(pending);
  }

  private buildTransaction(now: number, effects: Effect[]): void {
    const built: BuiltWrite[] = [];
    const fence = { key: levelKey, stamp: this.replica.modRevisionOf(levelKey) };
    const conditions = new Map<string, Condition>([[fence.key, fence]]);
    const { incarnation: inc } = this.replica;
    if (inc)
      conditions.set(incarnationKey(inc.number), { key: incarnationKey(inc.number), stamp: inc.modRevision });
    const writes: Write[] = [];
    const touched = new Set<string>();
    const maxWrites = Math.min(this.limits.maxOperations, Math.floor(this.tokens));
    let bytes = 0;
    // What was built and did not fit; a few are enough, or every commit would build the whole queue.
    let skipped = 0;
    const isFull = (): boolean =>
      writes.length >= maxWrites ||
      skipped >= this.limits.maxOperations ||
      (this.sendsSingly && built.length > 0);
    const takeFrom = (priority: WritePriority, maxTaken: number): void => {
      const queue = this.queues[priority];
      const remaining: PendingWrite[] = [];
      const before = writes.length;
      let i = 0;
      for (; i < queue.length && writes.length - before < maxTaken && !isFull(); i++) {
        const pending = queue[i];
        const transaction = pending.build();
        if (transaction === null) continue;
        // Guards against writing over what a newer program wrote, or what is damaged: somebody may need it.
        const unreadableKeys = transaction.writes
          .filter((w) => this.replica.unreadableRecords.has(w.key))
          .map((w) => w.key);
        if (unreadableKeys.length > 0) {
          pending.onConflict(unreadableKeys, this.replica.watchRevision);
          continue;
        }
        const size = JSON.stringify(encodeTransaction(transaction)).length;
        const clashes =
          transaction.writes.some((w) => touched.has(w.key)) ||
          transaction.conditions.some(
            (c) => conditions.has(c.key) && conditions.get(c.key)!.stamp !== c.stamp,
          );
        const newConditions = transaction.conditions.filter((c) => !conditions.has(c.key)).length;
        if (
          clashes ||
          (built.length > 0 &&
            (writes.length + transaction.writes.length > maxWrites ||
              conditions.size + newConditions > this.limits.maxConditions ||
              bytes + size > this.limits.maxBytes))
        ) {
          remaining.push(pending);
          skipped++;
          continue;
        }
        bytes += size;
        built.push({ pending, transaction });
        for (const c of transaction.conditions) conditions.set(c.key, c);
        for (const w of transaction.writes) touched.add(w.key);
        writes.push(...transaction.writes);
      }
      // Builds may have added to the queue meanwhile: only what was looked at is replaced.
      queue.splice(0, i, ...remaining);
      this.deficits[priority] -= writes.length - before;
    };
    // Guards against a flood of one kind, of submissions or of ends, that starves the others.
    const quotas = this.quotas(maxWrites);
    for (const { rank, allowed } of quotas) takeFrom(rank, allowed);
    for (const { rank } of quotas) if (!isFull()) takeFrom(rank, Infinity);
    if (built.length === 0) return;
    for (const b of built)
      if (b.pending.priority !== WritePriority.user) this.taskWrites.add(b.transaction.writes.length, now);
    const mark = `${this.instanceId}.${++this.sequence}`;
    for (const w of writes)
      if (w.data !== undefined) w.data = { ...this.replica.unknownFieldsOf(w.key), ...w.data, w: mark };
    this.inFlight = { built, txn: { conditions: [...conditions.values()], writes }, mark, unsure: false };
    this.unresolvedConflict = null;
    this.send(now, effects);
  }

  /** The ranks that wait, and what each may take before the others had their turn. */
  private quotas(maxWrites: number): { rank: WritePriority; allowed: number }[] {
    const lastPriority =
      this.replica.levels.mustStandBy || this.suspended ? WritePriority.membership : WritePriority.cleanup;
    const waiting = this.queues.flatMap((q, rank) =>
      q.length > 0 && rank <= lastPriority ? [rank as WritePriority] : [],
    );
    const totalWeight = waiting.reduce((sum, rank) => sum + priorityWeights[rank], 0);
    this.queues.forEach((q, rank) => {
      if (q.length === 0) this.deficits[rank] = 0;
    });
    return waiting.map((rank) => {
      const earned = Math.max(0, this.deficits[rank]) + (maxWrites * priorityWeights[rank]) / totalWeight;
      this.deficits[rank] = Math.min(maxWrites, earned);
      return { rank, allowed: Math.floor(this.deficits[rank]) };
    });
  }

  /** Writes per second that this controller allows itself now. */
  get writesPerS(): number {
    return this.allocatedWritesPerS === null ? this.probedWritesPerS : this.allocatedWritesPerS * this.health;
  }

  private send(now: number, effects: Effect[]): void {
    this.isSent = true;
    this.lastSentAt = now;
    this.tokens -= this.inFlight!.txn.writes.length;
    effects.push({ type: 'commit', txn: this.inFlight!.txn });
  }

  handleOutcome(outcome: CommitOutcome, now: number, effects: Effect[]): void {
    const inFlight = this.inFlight;
    if (!inFlight) return;
    if (outcome.type !== 'rejected' && outcome.type !== 'unknown' && outcome.type !== 'rate-limited')
      this.retries.onSuccess();
    switch (outcome.type) {
      case 'ok':
        this.inFlight = null;
        this.sendsSingly = false;
        this.health = Math.min(1, this.health + additiveIncrease);
        if (this.tokens < 1 && this.pendingCount > 0)
          this.probedWritesPerS = Math.min(
            this.limits.writesPerS * maxBudgetShare,
            this.probedWritesPerS + this.limits.writesPerS * additiveIncrease,
          );
        // Our own writes are seen at once, not only when the watch delivers them.
        for (const w of inFlight.txn.writes)
          this.replica.apply({ key: w.key, data: w.data, stamp: outcome.revision });
        for (const b of inFlight.built) b.pending.onCommitted(outcome.revision);
        break;
      case 'conflict':
        if (outcome.failed.some((key) => key === levelKey || key.startsWith(incarnationPrefix))) {
          this.blockedUntilRevision = outcome.revision;
          effects.push({ type: 'catch-up', revision: outcome.revision });
        }
        if (inFlight.unsure) {
          // Guards against the lost answer: an earlier sending may have been executed. Look before deciding.
          this.unresolvedConflict = { epoch: outcome.revision, failed: outcome.failed };
          effects.push({ type: 'catch-up', revision: outcome.revision });
          if (this.replica.watchRevision >= outcome.revision)
            this.resolveConflict(outcome.failed, outcome.revision);
        } else {
          this.inFlight = null;
          const failed = new Set(outcome.failed);
          this.onConditionsFailed(
            inFlight.txn.conditions.filter((c) => failed.has(c.key)),
            outcome.revision,
          );
          for (const b of inFlight.built) {
            const mine = b.transaction.conditions.filter((c) => failed.has(c.key)).map((c) => c.key);
            if (mine.length > 0) b.pending.onConflict(mine, outcome.revision);
            else this.enqueue(b.pending);
          }
        }
        break;
      case 'rate-limited':
        this.health = Math.max(minHealth, this.health * multiplicativeDecrease);
        this.probedWritesPerS = Math.max(
          (this.limits.writesPerS / this.limits.controllers) * multiplicativeDecrease,
          this.probedWritesPerS * multiplicativeDecrease,
        );
        this.tokens = Math.min(this.tokens, 0);
        this.resendAt = now + backoffDelayMs(this.retryPolicy, 1, this.random);
        if (inFlight.unsure) this.isSent = false;
        else {
          this.inFlight = null;
          // Guards against turning users away for a moment's crowd: only an outage does that.
          for (const b of inFlight.built) this.enqueue(b.pending);
        }
        break;
      case 'rejected':
        this.backOff(now);
        if (inFlight.unsure) {
          this.isSent = false;
        } else {
          this.inFlight = null;
          for (const b of inFlight.built)
            if (!(b.pending.onUnavailable?.() ?? false)) this.enqueue(b.pending);
        }
        break;
      case 'unknown':
        this.backOff(now);
        inFlight.unsure = true;
        this.isSent = false;
        break;
      case 'lease-expired':
      case 'malformed':
        this.inFlight = null;
        if (inFlight.built.length > 1) {
          // One of them spoils the others: send them one by one.
          this.sendsSingly = true;
          for (const b of inFlight.built) this.enqueue(b.pending);
        } else {
          this.sendsSingly = false;
          if (outcome.type === 'malformed')
            this.log('error', 'transaction malformed', { keys: inFlight.txn.writes.map((w) => w.key) });
          const keys = inFlight.txn.conditions.map((c) => c.key);
          for (const b of inFlight.built) b.pending.onConflict(keys, this.replica.watchRevision);
        }
        break;
    }
  }

  private backOff(now: number): void {
    this.retries.onFailure(now);
    this.resendAt = this.retries.notBefore;
  }

  /** After a lost answer and a conflict: the marks tell which intents an earlier sending carried out. */
  private resolveConflict(failedKeys: string[], revision: number): void {
    const inFlight = this.inFlight!;
    this.inFlight = null;
    this.unresolvedConflict = null;
    const applied = inFlight.txn.writes.some(
      (w) => w.data !== undefined && this.replica.writerOf(w.key) === inFlight.mark,
    );
    const failedKeySet = new Set(failedKeys);
    for (const b of inFlight.built) {
      const put = b.transaction.writes.find((w) => w.data !== undefined);
      const here = put && this.replica.writerOf(put.key) === inFlight.mark;
      if (here) b.pending.onCommitted(this.replica.modRevisionOf(put.key));
      else if (applied && !put) b.pending.onCommitted(revision);
      else {
        const mine = b.transaction.conditions.filter((c) => failedKeySet.has(c.key)).map((c) => c.key);
        if (mine.length > 0 || applied) b.pending.onConflict(mine, revision);
        else this.enqueue(b.pending);
      }
    }
  }
}
