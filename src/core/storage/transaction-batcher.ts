/** The write budget: groups changes into transactions by rank, and finds out what became of each. */
import { Meter } from '../../admission/index.js';
import type { Condition, Txn, Write } from '../../wire/store.js';
import { txnOut } from '../../wire/store.js';
import { Attempts, pauseMs, type Random, type RetryPolicy } from '../../retry/index.js';
import type { CommitOutcome, Effect, Log } from '../effects.js';
import { incKey, incPrefix, levelKey } from './keys.js';
import type { Replica } from '../replica.js';

/** What waits first when the state service's budget is short. */
export const enum Rank {
  membership,
  user,
  /** Placements of urgent work. */
  urgent,
  task,
  fleet,
  cleanup,
}

/** A wish to change some keys together. Intents share transactions; each learns its own outcome. */
export interface Intent {
  rank: Rank;
  /** Built as late as possible; null: no longer wanted. */
  build(): Txn | null;
  ok(epoch: number): void;
  /** Some of its conditions did not hold; the state was newer than `epoch` then. */
  conflict(failed: string[], epoch: number): void;
  /** Certainly not executed. True: give it up; otherwise it is tried again. */
  refused?(): boolean;
}

/** Conditions that a transaction may have for each operation (PROTOCOL). */
export const conditionsPerOperation = 4;

interface Built {
  intent: Intent;
  txn: Txn;
}

export interface CommitLimits {
  ops: number;
  conditions: number;
  bytes: number;
  /** Puts and deletes per second that the state service takes from all controllers together. */
  writesPerS: number;
  /** Controllers that share them. */
  nodes: number;
}

/** How the share of the common budget, or of its part of it, that a controller takes rises, and falls when refused. */
const rise = 0.02;
const fall = 0.7;
const largestShare = 0.9;
const leastHealth = 0.3;
/** What the ranks get of the budget while all of them wait; what one does not use goes to the others, by rank. */
const rankShares: Record<Rank, number> = {
  [Rank.membership]: 20,
  [Rank.user]: 12,
  [Rank.urgent]: 4,
  [Rank.task]: 4,
  [Rank.fleet]: 3,
  [Rank.cleanup]: 1,
};

/**
 * Groups intents into transactions, one in flight at a time. When no answer comes, the same transaction is
 * sent until there is one: its conditions make sure that it takes effect once at most, and the writer's
 * mark in each value tells whether an earlier sending did it.
 *
 * Each is on condition that the level in force is the one it was built at: nobody writes an old format after a switch or a
 * new one before it, however late a transaction is carried out.
 */
export class Committer {
  /** Intents that wait, by rank, each in order of arrival. */
  private readonly queues: Intent[][] = Array.from({ length: Rank.cleanup + 1 }, () => []);
  private flight: { built: Built[]; txn: Txn; mark: string; unsure: boolean } | null = null;
  private waitFor: { epoch: number; failed: string[] } | null = null;
  /** Only presence and what brings back lost data is written. */
  held = false;
  /** Told of conditions of ours that failed. */
  conflicted: (failed: Condition[], epoch: number) => void = () => undefined;
  /** Nothing is built before the view has reached this revision: it brought another level. */
  private blockedUntil = -1;
  private sent = true;
  private resendAt = 0;
  private readonly attempts: Attempts;
  private tokens: number;
  private refilledAt = -1;
  private count = 0;
  private lastAt = -Infinity;
  private bulkOff = false;
  private readonly others = new Meter(3000);
  /** Its part of the writes, if they are divided; and the share of it that the state service let it have of late. */
  private part: number | null = null;
  health = 1;
  /** Writes per second found by trying, where nothing is divided. */
  private found: number;
  /** What each rank has coming from transactions in which it got less than its share. */
  private readonly credit: number[] = this.queues.map(() => 0);

  constructor(
    private readonly run: string,
    private readonly limits: CommitLimits,
    private readonly replica: Replica,
    private readonly retry: RetryPolicy,
    private readonly random: Random,
    private readonly log: Log,
  ) {
    this.attempts = new Attempts(retry, random);
    // Not knowing what the others need, each begins with more than an equal share.
    this.found = limits.nodes > 1 ? limits.writesPerS / 2 : limits.writesPerS * largestShare;
    this.tokens = this.writesPerS;
  }

  add(intent: Intent): void {
    this.queues[intent.rank].push(intent);
  }

  /** Submissions that may be handed over now: few, so that who goes next is decided as late as possible. */
  get userRoom(): number {
    // Guards against a crowd that is handed over while a commit is under way: whoever comes meanwhile would wait behind it.
    if (this.flight) return 0;
    return Math.max(0, Math.min(this.limits.ops, Math.floor(this.tokens)) - this.queues[Rank.user].length);
  }

  /** What waits of all but users. */
  private get waitingTasks(): number {
    return this.queues.reduce((n, q, rank) => (rank === Rank.user ? n : n + q.length), 0);
  }

  /** Writes a second for all but users: those of late, and those that wait. */
  tasksWanted(now: number): number {
    return this.others.rate(now) + this.waitingTasks / 2;
  }

  /** Less than half a second's worth of writes is left. */
  get isShort(): boolean {
    return this.tokens < this.writesPerS / 2;
  }

  /** How long what waits to be written for accepted work will take, s. */
  get behindS(): number {
    return this.waitingTasks / Math.max(1, this.writesPerS);
  }

  /** What this controller may write, a second, as the division among all has it. */
  allow(writesPerS: number): void {
    this.part = writesPerS;
  }

  get waiting(): number {
    return this.queues.reduce((n, q) => n + q.length, this.flight?.built.length ?? 0);
  }

  pump(now: number, out: Effect[]): void {
    if (this.refilledAt < 0) this.refilledAt = now;
    // Guards against a part of less than one write a second, with which there would never be a whole one.
    this.tokens = Math.min(
      Math.max(1, this.writesPerS),
      this.tokens + ((now - this.refilledAt) / 1000) * this.writesPerS,
    );
    this.refilledAt = now;
    if (this.flight) {
      if (this.waitFor) {
        if (this.replica.watchRevision >= this.waitFor.epoch)
          this.judge(this.waitFor.failed, this.waitFor.epoch);
      } else if (!this.sent && now >= this.resendAt) this.send(now, out);
    }
    if (this.flight || now < this.resendAt || this.tokens < 1) return;
    if (this.replica.watchRevision < this.blockedUntil) return;
    if (this.replica.levels.standsBy || this.held) this.standBy();
    const first = this.queues.findIndex((q) => q.length > 0);
    if (first < 0) return;
    // Nothing that users wait for: let a few changes gather.
    if (first >= Rank.task && now - this.lastAt < 100) return;
    this.assemble(now, out);
  }

  /** Older than what is in force: users are told to come later, and nothing but our presence is written. */
  private standBy(): void {
    for (const intent of this.queues[Rank.user].splice(0))
      if (!(intent.refused?.() ?? false)) this.add(intent);
  }

  private assemble(now: number, out: Effect[]): void {
    const built: Built[] = [];
    const fence = { key: levelKey, stamp: this.replica.stampOf(levelKey) };
    const when = new Map<string, Condition>([[fence.key, fence]]);
    const { incarnation: inc } = this.replica;
    if (inc) when.set(incKey(inc.number), { key: incKey(inc.number), stamp: inc.stamp });
    const apply: Write[] = [];
    const touched = new Set<string>();
    const most = Math.min(this.limits.ops, Math.floor(this.tokens));
    let bytes = 0;
    // What was built and did not fit; a few are enough, or every commit would build the whole queue.
    let left = 0;
    const full = (): boolean =>
      apply.length >= most || left >= this.limits.ops || (this.bulkOff && built.length > 0);
    const take = (rank: Rank, allowed: number): void => {
      const queue = this.queues[rank];
      const rest: Intent[] = [];
      const before = apply.length;
      let i = 0;
      for (; i < queue.length && apply.length - before < allowed && !full(); i++) {
        const intent = queue[i];
        const txn = intent.build();
        if (txn === null) continue;
        // Guards against writing over what a newer program wrote, or what is damaged: somebody may need it.
        const shut = txn.apply.filter((w) => this.replica.unreadableRecords.has(w.key)).map((w) => w.key);
        if (shut.length > 0) {
          intent.conflict(shut, this.replica.watchRevision);
          continue;
        }
        const size = JSON.stringify(txnOut(txn)).length;
        const clash =
          txn.apply.some((w) => touched.has(w.key)) ||
          txn.when.some((c) => when.has(c.key) && when.get(c.key)!.stamp !== c.stamp);
        const conditions = txn.when.filter((c) => !when.has(c.key)).length;
        if (
          clash ||
          (built.length > 0 &&
            (apply.length + txn.apply.length > most ||
              when.size + conditions > this.limits.conditions ||
              bytes + size > this.limits.bytes))
        ) {
          rest.push(intent);
          left++;
          continue;
        }
        bytes += size;
        built.push({ intent, txn });
        for (const c of txn.when) when.set(c.key, c);
        for (const w of txn.apply) touched.add(w.key);
        apply.push(...txn.apply);
      }
      // Builds may have added to the queue meanwhile: only what was looked at is replaced.
      queue.splice(0, i, ...rest);
      this.credit[rank] -= apply.length - before;
    };
    // Guards against a flood of one kind, of submissions or of ends, that starves the others.
    const turns = this.turns(most);
    for (const { rank, allowed } of turns) take(rank, allowed);
    for (const { rank } of turns) if (!full()) take(rank, Infinity);
    if (built.length === 0) return;
    for (const b of built) if (b.intent.rank !== Rank.user) this.others.add(b.txn.apply.length, now);
    const mark = `${this.run}.${++this.count}`;
    for (const w of apply)
      if (w.data !== undefined) w.data = { ...this.replica.unknownFieldsOf(w.key), ...w.data, w: mark };
    this.flight = { built, txn: { when: [...when.values()], apply }, mark, unsure: false };
    this.waitFor = null;
    this.send(now, out);
  }

  /** The ranks that wait, and what each may take before the others had their turn. */
  private turns(most: number): { rank: Rank; allowed: number }[] {
    const last = this.replica.levels.standsBy || this.held ? Rank.membership : Rank.cleanup;
    const waiting = this.queues.flatMap((q, rank) => (q.length > 0 && rank <= last ? [rank as Rank] : []));
    const all = waiting.reduce((sum, rank) => sum + rankShares[rank], 0);
    this.queues.forEach((q, rank) => {
      if (q.length === 0) this.credit[rank] = 0;
    });
    return waiting.map((rank) => {
      const earned = Math.max(0, this.credit[rank]) + (most * rankShares[rank]) / all;
      this.credit[rank] = Math.min(most, earned);
      return { rank, allowed: Math.floor(this.credit[rank]) };
    });
  }

  /** Writes per second that this controller allows itself now. */
  get writesPerS(): number {
    return this.part === null ? this.found : this.part * this.health;
  }

  private send(now: number, out: Effect[]): void {
    this.sent = true;
    this.lastAt = now;
    this.tokens -= this.flight!.txn.apply.length;
    out.push({ type: 'commit', txn: this.flight!.txn });
  }

  outcome(o: CommitOutcome, now: number, out: Effect[]): void {
    const flight = this.flight;
    if (!flight) return;
    if (o.type !== 'rejected' && o.type !== 'unknown' && o.type !== 'rate-limited') this.attempts.onSuccess();
    switch (o.type) {
      case 'ok':
        this.flight = null;
        this.bulkOff = false;
        this.health = Math.min(1, this.health + rise);
        if (this.tokens < 1 && this.waiting > 0)
          this.found = Math.min(
            this.limits.writesPerS * largestShare,
            this.found + this.limits.writesPerS * rise,
          );
        // Our own writes are seen at once, not only when the watch delivers them.
        for (const w of flight.txn.apply) this.replica.apply({ key: w.key, data: w.data, stamp: o.epoch });
        for (const b of flight.built) b.intent.ok(o.epoch);
        break;
      case 'conflict':
        if (o.failed.some((key) => key === levelKey || key.startsWith(incPrefix))) {
          this.blockedUntil = o.epoch;
          out.push({ type: 'catch-up', epoch: o.epoch });
        }
        if (flight.unsure) {
          // Guards against the lost answer: an earlier sending may have been executed. Look before deciding.
          this.waitFor = { epoch: o.epoch, failed: o.failed };
          out.push({ type: 'catch-up', epoch: o.epoch });
          if (this.replica.watchRevision >= o.epoch) this.judge(o.failed, o.epoch);
        } else {
          this.flight = null;
          const failed = new Set(o.failed);
          this.conflicted(
            flight.txn.when.filter((c) => failed.has(c.key)),
            o.epoch,
          );
          for (const b of flight.built) {
            const mine = b.txn.when.filter((c) => failed.has(c.key)).map((c) => c.key);
            if (mine.length > 0) b.intent.conflict(mine, o.epoch);
            else this.add(b.intent);
          }
        }
        break;
      case 'rate-limited':
        this.health = Math.max(leastHealth, this.health * fall);
        this.found = Math.max((this.limits.writesPerS / this.limits.nodes) * fall, this.found * fall);
        this.tokens = Math.min(this.tokens, 0);
        this.resendAt = now + pauseMs(this.retry, 1, this.random);
        if (flight.unsure) this.sent = false;
        else {
          this.flight = null;
          // Guards against turning users away for a moment's crowd: only an outage does that.
          for (const b of flight.built) this.add(b.intent);
        }
        break;
      case 'rejected':
        this.back(now);
        if (flight.unsure) {
          this.sent = false;
        } else {
          this.flight = null;
          for (const b of flight.built) if (!(b.intent.refused?.() ?? false)) this.add(b.intent);
        }
        break;
      case 'unknown':
        this.back(now);
        flight.unsure = true;
        this.sent = false;
        break;
      case 'lease-expired':
      case 'malformed':
        this.flight = null;
        if (flight.built.length > 1) {
          // One of them spoils the others: send them one by one.
          this.bulkOff = true;
          for (const b of flight.built) this.add(b.intent);
        } else {
          this.bulkOff = false;
          if (o.type === 'malformed')
            this.log('error', 'transaction malformed', { keys: flight.txn.apply.map((w) => w.key) });
          const keys = flight.txn.when.map((c) => c.key);
          for (const b of flight.built) b.intent.conflict(keys, this.replica.watchRevision);
        }
        break;
    }
  }

  private back(now: number): void {
    this.attempts.onFailure(now);
    this.resendAt = this.attempts.notBefore;
  }

  /** After a lost answer and a conflict: the marks tell which intents an earlier sending carried out. */
  private judge(failed: string[], epoch: number): void {
    const flight = this.flight!;
    this.flight = null;
    this.waitFor = null;
    const applied = flight.txn.apply.some(
      (w) => w.data !== undefined && this.replica.writerOf(w.key) === flight.mark,
    );
    const failing = new Set(failed);
    for (const b of flight.built) {
      const put = b.txn.apply.find((w) => w.data !== undefined);
      const here = put && this.replica.writerOf(put.key) === flight.mark;
      if (here) b.intent.ok(this.replica.stampOf(put.key));
      else if (applied && !put) b.intent.ok(epoch);
      else {
        const mine = b.txn.when.filter((c) => failing.has(c.key)).map((c) => c.key);
        if (mine.length > 0 || applied) b.intent.conflict(mine, epoch);
        else this.add(b.intent);
      }
    }
  }
}
