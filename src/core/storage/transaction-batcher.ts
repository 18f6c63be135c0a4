/** Groups writes into transactions by priority within the write budget, and handles the outcome of each transaction. */
import { RateMeter } from '../../admission/index.js';
import type { Condition, Transaction } from '../../wire/store.js';
import { RetryBackoff, backoffDelayMs, type Random, type RetryPolicy } from '../../retry/index.js';
import type { CommitOutcome, Effect, Log } from '../effects.js';
import { incarnationPrefix, levelKey } from './keys.js';
import { WritePriority, type BatchLimits, type BuiltWrite, type PendingWrite } from './pending-write.js';
import type { Replica } from '../replica.js';
import { TransactionBuilder } from './transaction-builder.js';

/** The transaction in flight, and the writes that it consists of. */
interface InFlight {
  readonly built: readonly BuiltWrite[];
  readonly transaction: Transaction;
  /** Identifies the transaction; stored in each value that it puts. */
  readonly transactionId: string;
  /** A response was lost, so the transaction may have been executed. */
  isOutcomeUnknown: boolean;
}

/** A conflict reported by the state service: the keys whose conditions failed, and the revision of the check. */
interface Conflict {
  readonly failed: string[];
  readonly revision: number;
}

/** Additive increase and multiplicative decrease (AIMD) of the write rate of a controller. */
const additiveIncrease = 0.02;
const multiplicativeDecrease = 0.7;
/** The maximum share of the write budget that a controller uses while it has no allocation. */
const maxBudgetShare = 0.9;
/** The lower bound of the factor by which rate limiting reduces the allocation. */
const minAllocationFactor = 0.3;
/** Weights of the priorities when all have waiting writes; what one does not use goes to the others, highest priority first. */
const priorityWeights: Record<WritePriority, number> = {
  [WritePriority.membership]: 20,
  [WritePriority.user]: 12,
  [WritePriority.urgent]: 4,
  [WritePriority.task]: 4,
  [WritePriority.provisioning]: 3,
  [WritePriority.cleanup]: 1,
};

/**
 * Groups pending writes into transactions, one in flight at a time. If no response arrives, the same transaction is sent again
 * until there is one. Its conditions ensure that it takes effect at most once, and the transaction ID in each value shows
 * whether an earlier attempt was committed.
 */
export class TransactionBatcher {
  /** Pending writes by priority, each in order of arrival. */
  private readonly queues: PendingWrite[][] = Array.from({ length: WritePriority.cleanup + 1 }, () => []);
  private inFlight: InFlight | null = null;
  /** A conflict after a lost response: resolved once the replica has reached its revision. */
  private unresolvedConflict: Conflict | null = null;
  /** While set, only presence records and the restoration of lost data are written. */
  suspended = false;
  /** Called with the failed conditions of a transaction, and the revision at which they were checked. */
  onConditionsFailed: (failed: Condition[], revision: number) => void = () => undefined;
  /** No transaction is built before the replica has reached this revision, at which the level or the incarnation changed. */
  private blockedUntilRevision = -1;
  /** Whether the transaction in flight awaits a response; false: it is to be sent again. */
  private awaitsResponse = true;
  /** No transaction is sent or resent before this time, ms. */
  private resendAt = 0;
  private readonly retries: RetryBackoff;
  /** The token bucket: how many operations may be sent now. */
  private tokens: number;
  private refilledAt = -1;
  private sequence = 0;
  private lastSentAt = -Infinity;
  /** Set after an invalid transaction: the next one contains a single pending write. */
  private sendsOneByOne = false;
  private readonly taskWrites = new RateMeter(3000);
  /** Writes per second allocated to this controller; null if there is no allocation. */
  private allocatedWritesPerS: number | null = null;
  /**
   * The factor by which the allocation is reduced, at most 1: decreases when the state service limits the rate, rises with
   * commits.
   */
  allocationFactor = 1;
  /** Writes per second found by probing, used if there is no allocation. */
  private probedWritesPerS: number;
  /** By priority: operations carried over from transactions in which that priority got less than its share. */
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
    // The demand of the other controllers is not known yet, so each starts with half of the budget, more than an equal share.
    this.probedWritesPerS =
      limits.controllers > 1 ? limits.writesPerS / 2 : limits.writesPerS * maxBudgetShare;
    this.tokens = this.writesPerS;
  }

  /** Queues a write behind the others of its priority. */
  enqueue(pending: PendingWrite): void {
    this.queues[pending.priority].push(pending);
  }

  /** How many submissions may be queued now: few, so that their order is decided as late as possible. */
  get userCapacity(): number {
    // None while a transaction is in flight: a burst queued now would be ahead of everyone who submits before it completes.
    if (this.inFlight) return 0;
    return Math.max(
      0,
      Math.min(this.limits.maxOperations, Math.floor(this.tokens)) - this.queues[WritePriority.user].length,
    );
  }

  /** How many writes other than users' are queued. */
  private get queuedTaskWrites(): number {
    return this.queues.reduce(
      (n, queue, priority) => (priority === WritePriority.user ? n : n + queue.length),
      0,
    );
  }

  /** Demand for writes other than users', per second: the recent rate plus half of the queued writes. */
  taskWriteDemand(now: number): number {
    return this.taskWrites.rate(now) + this.queuedTaskWrites / 2;
  }

  /** Whether the token bucket holds less than half a second's worth of writes. */
  get isBudgetLow(): boolean {
    return this.tokens < this.writesPerS / 2;
  }

  /** How long it will take to send the queued writes other than users', s. */
  get backlogS(): number {
    return this.queuedTaskWrites / Math.max(1, this.writesPerS);
  }

  /** Sets the writes per second allocated to this controller. */
  setAllocation(writesPerS: number): void {
    this.allocatedWritesPerS = writesPerS;
  }

  /** How many writes are queued or in flight. */
  get pendingCount(): number {
    return this.queues.reduce((n, q) => n + q.length, this.inFlight?.built.length ?? 0);
  }

  /** To be called on every tick: refills the token bucket, and resends the transaction in flight or sends the next one. */
  tick(now: number, effects: Effect[]): void {
    if (this.refilledAt < 0) this.refilledAt = now;
    // The bucket holds at least one token: with an allocation below one write per second there would never be a whole one.
    this.tokens = Math.min(
      Math.max(1, this.writesPerS),
      this.tokens + ((now - this.refilledAt) / 1000) * this.writesPerS,
    );
    this.refilledAt = now;
    if (this.inFlight) {
      if (this.unresolvedConflict) {
        if (this.replica.watchRevision >= this.unresolvedConflict.revision)
          this.resolveConflict(this.unresolvedConflict.failed, this.unresolvedConflict.revision);
      } else if (!this.awaitsResponse && now >= this.resendAt) this.send(now, effects);
    }
    if (this.inFlight || now < this.resendAt || this.tokens < 1) return;
    if (this.replica.watchRevision < this.blockedUntilRevision) return;
    if (this.replica.levels.mustStandBy || this.suspended) this.rejectUserWrites();
    const first = this.queues.findIndex((q) => q.length > 0);
    if (first < 0) return;
    // No user waits for these writes: leave 100 ms between transactions so that changes can be grouped.
    if (first >= WritePriority.task && now - this.lastSentAt < 100) return;
    this.sendNext(now, effects);
  }

  /**
   * Asks users to retry later: this program is older than the level in force, or writes are suspended, so that only membership
   * writes are sent.
   */
  private rejectUserWrites(): void {
    for (const pending of this.queues[WritePriority.user].splice(0))
      if (!(pending.onUnavailable?.() ?? false)) this.enqueue(pending);
  }

  /** Builds the next transaction from the queued writes, and sends it. */
  private sendNext(now: number, effects: Effect[]): void {
    const builder = new TransactionBuilder(this.replica, this.limits, {
      maxWrites: Math.min(this.limits.maxOperations, Math.floor(this.tokens)),
      singleWrite: this.sendsOneByOne,
    });
    // Quotas keep a flood of one kind, such as submissions or terminations, from starving the others.
    const quotas = this.quotas(builder.maxWrites);
    for (const { priority, allowed } of quotas) this.takeFrom(builder, priority, allowed);
    for (const { priority } of quotas) if (!builder.isFull) this.takeFrom(builder, priority, Infinity);
    if (builder.built.length === 0) return;
    for (const { pending, transaction } of builder.built)
      if (pending.priority !== WritePriority.user) this.taskWrites.add(transaction.writes.length, now);
    const transactionId = `${this.instanceId}.${++this.sequence}`;
    const transaction = builder.finish(transactionId);
    this.inFlight = { built: builder.built, transaction, transactionId, isOutcomeUnknown: false };
    this.unresolvedConflict = null;
    this.send(now, effects);
  }

  private takeFrom(builder: TransactionBuilder, priority: WritePriority, maxTaken: number): void {
    const queue = this.queues[priority];
    const { taken, examined, skipped } = builder.takeFrom(queue, maxTaken);
    // Building writes may have appended to the queue: replace only the entries that were examined.
    queue.splice(0, examined, ...skipped);
    this.deficits[priority] -= taken;
  }

  /**
   * The priorities with queued writes, and how many operations each may take before the others get their turn (deficit round
   * robin).
   */
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

  /** The current write rate limit of this controller, writes per second. */
  get writesPerS(): number {
    return this.allocatedWritesPerS === null
      ? this.probedWritesPerS
      : this.allocatedWritesPerS * this.allocationFactor;
  }

  private send(now: number, effects: Effect[]): void {
    this.awaitsResponse = true;
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
        this.awaitsResponse = false;
        return;
      case 'lease-expired':
      case 'malformed':
        return this.onInvalid(inFlight, outcome.type);
    }
  }

  private onCommitted({ transaction, built }: InFlight, revision: number): void {
    this.inFlight = null;
    this.sendsOneByOne = false;
    this.allocationFactor = Math.min(1, this.allocationFactor + additiveIncrease);
    if (this.tokens < 1 && this.pendingCount > 0)
      this.probedWritesPerS = Math.min(
        this.limits.writesPerS * maxBudgetShare,
        this.probedWritesPerS + this.limits.writesPerS * additiveIncrease,
      );
    // Applies the writes of this controller at once, without waiting for the watch to deliver them.
    for (const { key, data } of transaction.writes) this.replica.apply({ key, data, stamp: revision });
    for (const { pending } of built) pending.onCommitted(revision);
  }

  private onConflict(inFlight: InFlight, { failed, revision }: Conflict, effects: Effect[]): void {
    if (failed.some((key) => key === levelKey || key.startsWith(incarnationPrefix))) {
      this.blockedUntilRevision = revision;
      effects.push({ type: 'catch-up', revision });
    }
    if (inFlight.isOutcomeUnknown) {
      // A response was lost, so an earlier attempt may have been executed: resolve the conflict once the replica has caught up.
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

  /** Multiplicatively decreases the write rate; the writes are sent again after a delay. */
  private onRateLimited(inFlight: InFlight, now: number): void {
    this.allocationFactor = Math.max(minAllocationFactor, this.allocationFactor * multiplicativeDecrease);
    this.probedWritesPerS = Math.max(
      (this.limits.writesPerS / this.limits.controllers) * multiplicativeDecrease,
      this.probedWritesPerS * multiplicativeDecrease,
    );
    this.tokens = Math.min(this.tokens, 0);
    this.resendAt = now + backoffDelayMs(this.retryPolicy, 1, this.random);
    // The writes are queued again and users are not rejected: only an outage does that, not a short burst.
    if (inFlight.isOutcomeUnknown) this.awaitsResponse = false;
    else this.requeue(inFlight.built);
  }

  private onRejected(inFlight: InFlight, now: number): void {
    this.backOff(now);
    if (inFlight.isOutcomeUnknown) {
      this.awaitsResponse = false;
      return;
    }
    this.inFlight = null;
    for (const { pending } of inFlight.built)
      if (!(pending.onUnavailable?.() ?? false)) this.enqueue(pending);
  }

  /**
   * The state service cannot accept the transaction: one of its writes is invalid, so they are sent one by one to isolate it.
   */
  private onInvalid({ built, transaction }: InFlight, reason: 'lease-expired' | 'malformed'): void {
    this.sendsOneByOne = built.length > 1;
    if (this.sendsOneByOne) return this.requeue(built);
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

  /** Resolves a conflict after a lost response: the stored transaction IDs show which writes an earlier attempt committed. */
  private resolveConflict(failed: readonly string[], revision: number): void {
    const { transaction, built, transactionId } = this.inFlight!;
    this.inFlight = null;
    this.unresolvedConflict = null;
    const wasApplied = transaction.writes.some(
      (w) => w.data !== undefined && this.replica.transactionIdOf(w.key) === transactionId,
    );
    const failedKeys = new Set(failed);
    for (const { pending, transaction: own } of built) {
      const put = own.writes.find((w) => w.data !== undefined);
      if (put && this.replica.transactionIdOf(put.key) === transactionId)
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

/** The keys of a transaction's conditions that are among the failed ones. */
const failedConditionKeys = (transaction: Transaction, failed: ReadonlySet<string>): string[] =>
  transaction.conditions.filter((c) => failed.has(c.key)).map((c) => c.key);
