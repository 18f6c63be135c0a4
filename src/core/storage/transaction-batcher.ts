/** The write budget: groups writes into transactions by priority, and resolves the outcome of each. */
import { RateMeter } from '../../admission/index.js';
import type { Condition, Transaction } from '../../wire/store.js';
import { RetryBackoff, backoffDelayMs, type Random, type RetryPolicy } from '../../retry/index.js';
import type { CommitOutcome, Effect, Log } from '../effects.js';
import { incarnationPrefix, levelKey } from './keys.js';
import { WritePriority, type BatchLimits, type BuiltWrite, type PendingWrite } from './pending-write.js';
import type { Replica } from '../replica.js';
import { TransactionBuilder } from './transaction-builder.js';

/** The transaction that has been sent, and the writes that it is made of. */
interface InFlight {
  readonly built: readonly BuiltWrite[];
  readonly transaction: Transaction;
  /** Names the transaction in each value that it puts. */
  readonly mark: string;
  /** An answer was lost: it may have been carried out. */
  isOutcomeUnknown: boolean;
}

interface Conflict {
  readonly failed: string[];
  readonly revision: number;
}

/** Additive increase and multiplicative decrease of the share of the write budget that a controller takes. */
const additiveIncrease = 0.02;
const multiplicativeDecrease = 0.7;
const maxBudgetShare = 0.9;
const minHealth = 0.3;
/** Weights of the priorities while all of them have waiting writes; what one does not use goes to the others, in order. */
const priorityWeights: Record<WritePriority, number> = {
  [WritePriority.membership]: 20,
  [WritePriority.user]: 12,
  [WritePriority.urgent]: 4,
  [WritePriority.task]: 4,
  [WritePriority.provisioning]: 3,
  [WritePriority.cleanup]: 1,
};

/**
 * Groups pending writes into transactions, one in flight at a time. When no answer comes, the same transaction is sent until
 * there is one: its conditions make sure that it takes effect once at most, and the writer's mark in each value shows whether an
 * earlier sending did it.
 */
export class TransactionBatcher {
  /** Pending writes by priority, each in order of arrival. */
  private readonly queues: PendingWrite[][] = Array.from({ length: WritePriority.cleanup + 1 }, () => []);
  private inFlight: InFlight | null = null;
  /** Conditions that failed after a lost answer: resolved once the replica has reached the revision. */
  private unresolvedConflict: Conflict | null = null;
  /** Only presence and what brings back lost data is written. */
  suspended = false;
  /** Called with the conditions of a transaction that failed. */
  onConditionsFailed: (failed: Condition[], epoch: number) => void = () => undefined;
  /** Nothing is built before the replica has reached this revision: it brought another level. */
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
  /** Writes per second allocated to this controller; null: nothing is allocated. */
  private allocatedWritesPerS: number | null = null;
  /** The share of its allocation that the state service has accepted of late, 0 to 1. */
  health = 1;
  /** Writes per second found by probing, where nothing is allocated. */
  private probedWritesPerS: number;
  /** By priority: operations carried over from transactions in which it got less than its share. */
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

  /** Adds a write, to be built and sent with the others of its priority. */
  enqueue(pending: PendingWrite): void {
    this.queues[pending.priority].push(pending);
  }

  /** How many submissions may be enqueued now: few, so that their order is decided as late as possible. */
  get userCapacity(): number {
    // Guards against a crowd that is handed over while a commit is under way: whoever comes meanwhile would wait behind it.
    if (this.inFlight) return 0;
    return Math.max(
      0,
      Math.min(this.limits.maxOperations, Math.floor(this.tokens)) - this.queues[WritePriority.user].length,
    );
  }

  /** How many writes wait, without those of users. */
  private get queuedTaskWrites(): number {
    return this.queues.reduce(
      (n, queue, priority) => (priority === WritePriority.user ? n : n + queue.length),
      0,
    );
  }

  /** Writes per second, without those of users: the recent rate, and half of those that wait. */
  taskWriteDemand(now: number): number {
    return this.taskWrites.rate(now) + this.queuedTaskWrites / 2;
  }

  /** Less than half a second's worth of writes is left. */
  get isBudgetLow(): boolean {
    return this.tokens < this.writesPerS / 2;
  }

  /** How long the waiting writes of accepted work will take, s. */
  get backlogS(): number {
    return this.queuedTaskWrites / Math.max(1, this.writesPerS);
  }

  /** Sets the writes per second that the allocation among all controllers gives this one. */
  setAllocation(writesPerS: number): void {
    this.allocatedWritesPerS = writesPerS;
  }

  /** How many writes wait or are in flight. */
  get pendingCount(): number {
    return this.queues.reduce((n, q) => n + q.length, this.inFlight?.built.length ?? 0);
  }

  /** To be called every step: refills the token bucket, resends, and sends the next transaction. */
  tick(now: number, effects: Effect[]): void {
    if (this.refilledAt < 0) this.refilledAt = now;
    // Guards against an allocation of less than one write per second, with which there would never be a whole one.
    this.tokens = Math.min(
      Math.max(1, this.writesPerS),
      this.tokens + ((now - this.refilledAt) / 1000) * this.writesPerS,
    );
    this.refilledAt = now;
    if (this.inFlight) {
      if (this.unresolvedConflict) {
        if (this.replica.watchRevision >= this.unresolvedConflict.revision)
          this.resolveConflict(this.unresolvedConflict.failed, this.unresolvedConflict.revision);
      } else if (!this.isSent && now >= this.resendAt) this.send(now, effects);
    }
    if (this.inFlight || now < this.resendAt || this.tokens < 1) return;
    if (this.replica.watchRevision < this.blockedUntilRevision) return;
    if (this.replica.levels.mustStandBy || this.suspended) this.rejectUserWrites();
    const first = this.queues.findIndex((q) => q.length > 0);
    if (first < 0) return;
    // Nothing that users wait for: let a few changes gather.
    if (first >= WritePriority.task && now - this.lastSentAt < 100) return;
    this.sendNext(now, effects);
  }

  /** This program is older than the level in force: users are asked to retry later, and only its presence is written. */
  private rejectUserWrites(): void {
    for (const pending of this.queues[WritePriority.user].splice(0))
      if (!(pending.onUnavailable?.() ?? false)) this.enqueue(pending);
  }

  /** Builds the next transaction from what waits, and sends it. */
  private sendNext(now: number, effects: Effect[]): void {
    const builder = new TransactionBuilder(this.replica, this.limits, {
      maxWrites: Math.min(this.limits.maxOperations, Math.floor(this.tokens)),
      singly: this.sendsSingly,
    });
    // Guards against a flood of one kind, of submissions or of terminations, that starves the others.
    const quotas = this.quotas(builder.maxWrites);
    for (const { priority, allowed } of quotas) this.takeFrom(builder, priority, allowed);
    for (const { priority } of quotas) if (!builder.isFull) this.takeFrom(builder, priority, Infinity);
    if (builder.built.length === 0) return;
    for (const { pending, transaction } of builder.built)
      if (pending.priority !== WritePriority.user) this.taskWrites.add(transaction.writes.length, now);
    const mark = `${this.instanceId}.${++this.sequence}`;
    const transaction = builder.finish(mark);
    this.inFlight = { built: builder.built, transaction, mark, isOutcomeUnknown: false };
    this.unresolvedConflict = null;
    this.send(now, effects);
  }

  private takeFrom(builder: TransactionBuilder, priority: WritePriority, maxTaken: number): void {
    const queue = this.queues[priority];
    const { taken, examined, skipped } = builder.takeFrom(queue, maxTaken);
    // Builds may have added to the queue meanwhile: only what was looked at is replaced.
    queue.splice(0, examined, ...skipped);
    this.deficits[priority] -= taken;
  }

  /** The priorities that have waiting writes, and how many each may take before the others had their turn (deficit round robin). */
  private quotas(maxWrites: number): { priority: WritePriority; allowed: number }[] {
    const lastPriority =
      this.replica.levels.mustStandBy || this.suspended ? WritePriority.membership : WritePriority.cleanup;
    const waiting = this.queues.flatMap((queue, priority) =>
      queue.length > 0 && priority <= lastPriority ? [priority as WritePriority] : [],
    );
    const totalWeight = waiting.reduce((sum, priority) => sum + priorityWeights[priority], 0);
    this.queues.forEach((queue, priority) => {
      if (queue.length === 0) this.deficits[priority] = 0;
    });
    return waiting.map((priority) => {
      const earned =
        Math.max(0, this.deficits[priority]) + (maxWrites * priorityWeights[priority]) / totalWeight;
      this.deficits[priority] = Math.min(maxWrites, earned);
      return { priority, allowed: Math.floor(this.deficits[priority]) };
    });
  }

  /** Writes per second that this controller allows itself now. */
  get writesPerS(): number {
    return this.allocatedWritesPerS === null ? this.probedWritesPerS : this.allocatedWritesPerS * this.health;
  }

  private send(now: number, effects: Effect[]): void {
    this.isSent = true;
    this.lastSentAt = now;
    this.tokens -= this.inFlight!.transaction.writes.length;
    effects.push({ type: 'commit', txn: this.inFlight!.transaction });
  }

  /** Handles the outcome of the transaction in flight. */
  handleOutcome(outcome: CommitOutcome, now: number, effects: Effect[]): void {
    const { inFlight } = this;
    if (!inFlight) return;
    if (outcome.type !== 'rejected' && outcome.type !== 'unknown' && outcome.type !== 'rate-limited')
      this.retries.onSuccess();
    switch (outcome.type) {
      case 'ok':
        return this.onCommitted(inFlight, outcome.revision);
      case 'conflict':
        return this.onConflict(inFlight, outcome, effects);
      case 'rate-limited':
        return this.onRateLimited(inFlight, now);
      case 'rejected':
        return this.onRejected(inFlight, now);
      case 'unknown':
        this.backOff(now);
        inFlight.isOutcomeUnknown = true;
        this.isSent = false;
        return;
      case 'lease-expired':
      case 'malformed':
        return this.onInvalid(inFlight, outcome.type);
    }
  }

  private onCommitted({ transaction, built }: InFlight, revision: number): void {
    this.inFlight = null;
    this.sendsSingly = false;
    this.health = Math.min(1, this.health + additiveIncrease);
    if (this.tokens < 1 && this.pendingCount > 0)
      this.probedWritesPerS = Math.min(
        this.limits.writesPerS * maxBudgetShare,
        this.probedWritesPerS + this.limits.writesPerS * additiveIncrease,
      );
    // Our own writes are seen at once, not only when the watch delivers them.
    for (const { key, data } of transaction.writes) this.replica.apply({ key, data, stamp: revision });
    for (const { pending } of built) pending.onCommitted(revision);
  }

  private onConflict(inFlight: InFlight, { failed, revision }: Conflict, effects: Effect[]): void {
    if (failed.some((key) => key === levelKey || key.startsWith(incarnationPrefix))) {
      this.blockedUntilRevision = revision;
      effects.push({ type: 'catch-up', revision });
    }
    if (inFlight.isOutcomeUnknown) {
      // Guards against the lost answer: an earlier sending may have been executed. Look before deciding.
      this.unresolvedConflict = { failed, revision };
      effects.push({ type: 'catch-up', revision });
      if (this.replica.watchRevision >= revision) this.resolveConflict(failed, revision);
      return;
    }
    this.inFlight = null;
    const failedKeys = new Set(failed);
    this.onConditionsFailed(
      inFlight.transaction.conditions.filter((c) => failedKeys.has(c.key)),
      revision,
    );
    for (const { pending, transaction } of inFlight.built) {
      const own = failedConditionKeys(transaction, failedKeys);
      if (own.length > 0) pending.onConflict(own, revision);
      else this.enqueue(pending);
    }
  }

  /** Multiplicative decrease of what this controller allows itself; the transaction is sent again after a pause. */
  private onRateLimited(inFlight: InFlight, now: number): void {
    this.health = Math.max(minHealth, this.health * multiplicativeDecrease);
    this.probedWritesPerS = Math.max(
      (this.limits.writesPerS / this.limits.controllers) * multiplicativeDecrease,
      this.probedWritesPerS * multiplicativeDecrease,
    );
    this.tokens = Math.min(this.tokens, 0);
    this.resendAt = now + backoffDelayMs(this.retryPolicy, 1, this.random);
    // Guards against rejecting users for a moment's crowd: only an outage does that.
    if (inFlight.isOutcomeUnknown) this.isSent = false;
    else this.requeue(inFlight.built);
  }

  private onRejected(inFlight: InFlight, now: number): void {
    this.backOff(now);
    if (inFlight.isOutcomeUnknown) {
      this.isSent = false;
      return;
    }
    this.inFlight = null;
    for (const { pending } of inFlight.built)
      if (!(pending.onUnavailable?.() ?? false)) this.enqueue(pending);
  }

  /** A transaction that the state service cannot accept: one of its writes spoils the others, so they are sent one by one. */
  private onInvalid({ built, transaction }: InFlight, reason: 'lease-expired' | 'malformed'): void {
    this.sendsSingly = built.length > 1;
    if (this.sendsSingly) return this.requeue(built);
    this.inFlight = null;
    if (reason === 'malformed')
      this.log('error', 'transaction malformed', { keys: transaction.writes.map((w) => w.key) });
    const keys = transaction.conditions.map((c) => c.key);
    for (const { pending } of built) pending.onConflict(keys, this.replica.watchRevision);
  }

  private requeue(built: readonly BuiltWrite[]): void {
    this.inFlight = null;
    for (const { pending } of built) this.enqueue(pending);
  }

  private backOff(now: number): void {
    this.retries.onFailure(now);
    this.resendAt = this.retries.notBefore;
  }

  /** After a lost answer and a conflict: the marks tell which writes an earlier sending carried out. */
  private resolveConflict(failed: readonly string[], revision: number): void {
    const { transaction, built, mark } = this.inFlight!;
    this.inFlight = null;
    this.unresolvedConflict = null;
    const wasApplied = transaction.writes.some(
      (w) => w.data !== undefined && this.replica.writerOf(w.key) === mark,
    );
    const failedKeys = new Set(failed);
    for (const { pending, transaction: own } of built) {
      const put = own.writes.find((w) => w.data !== undefined);
      if (put && this.replica.writerOf(put.key) === mark)
        pending.onCommitted(this.replica.modRevisionOf(put.key));
      else if (wasApplied && !put) pending.onCommitted(revision);
      else {
        const keys = failedConditionKeys(own, failedKeys);
        if (keys.length > 0 || wasApplied) pending.onConflict(keys, revision);
        else this.enqueue(pending);
      }
    }
  }
}

const failedConditionKeys = (transaction: Transaction, failed: ReadonlySet<string>): string[] =>
  transaction.conditions.filter((c) => failed.has(c.key)).map((c) => c.key);
