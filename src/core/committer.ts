import type { Condition, Txn, Write } from '../wire/store.js';
import { txnOut } from '../wire/store.js';
import type { CommitOutcome, Effect, Log } from './effects.js';
import type { Replica } from './replica.js';

/** What waits first when the state service's budget is short. */
export const enum Rank {
  membership,
  user,
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

interface Built {
  intent: Intent;
  txn: Txn;
}

export interface CommitLimits {
  ops: number;
  conditions: number;
  bytes: number;
  writesPerS: number;
}

const firstBackoffMs = 150;
const longestBackoffMs = 1000;

/**
 * Groups intents into transactions, one in flight at a time. When no answer comes, the same transaction is
 * sent until there is one: its conditions make sure that it takes effect once at most, and the writer's
 * mark in each value tells whether an earlier sending did it.
 */
export class Committer {
  private queue: Intent[] = [];
  private flight: { built: Built[]; txn: Txn; mark: string; unsure: boolean } | null = null;
  private waitFor: { epoch: number; failed: string[] } | null = null;
  private sent = true;
  private resendAt = 0;
  private backoffMs = 0;
  private tokens: number;
  private refilledAt = -1;
  private count = 0;
  private lastAt = -Infinity;
  private bulkOff = false;

  constructor(
    private readonly run: string,
    private readonly limits: CommitLimits,
    private readonly replica: Replica,
    private readonly log: Log,
  ) {
    this.tokens = limits.writesPerS;
  }

  add(intent: Intent): void {
    this.queue.push(intent);
  }

  get waiting(): number {
    return this.queue.length + (this.flight?.built.length ?? 0);
  }

  pump(now: number, out: Effect[]): void {
    if (this.refilledAt < 0) this.refilledAt = now;
    this.tokens = Math.min(
      this.limits.writesPerS,
      this.tokens + ((now - this.refilledAt) / 1000) * this.limits.writesPerS,
    );
    this.refilledAt = now;
    if (this.flight) {
      if (this.waitFor) {
        if (this.replica.epoch >= this.waitFor.epoch) this.judge(this.waitFor.failed, this.waitFor.epoch);
      } else if (!this.sent && now >= this.resendAt) this.send(now, out);
    }
    if (this.flight || now < this.resendAt || this.queue.length === 0) return;
    this.queue.sort((a, b) => a.rank - b.rank);
    // Nothing that users wait for: let a few changes gather.
    if (this.queue[0].rank >= Rank.task && now - this.lastAt < 100) return;
    this.assemble(now, out);
  }

  private assemble(now: number, out: Effect[]): void {
    const built: Built[] = [];
    const when = new Map<string, Condition>();
    const apply: Write[] = [];
    const touched = new Set<string>();
    const rest: Intent[] = [];
    let bytes = 0;
    for (const intent of this.queue) {
      if (this.bulkOff && built.length > 0) {
        rest.push(intent);
        continue;
      }
      if (apply.length >= this.limits.ops || apply.length >= this.tokens) {
        rest.push(intent);
        continue;
      }
      const txn = intent.build();
      if (txn === null) continue;
      const size = JSON.stringify(txnOut(txn)).length;
      const clash =
        txn.apply.some((w) => touched.has(w.key)) ||
        txn.when.some((c) => when.has(c.key) && when.get(c.key)!.stamp !== c.stamp);
      const conditions = txn.when.filter((c) => !when.has(c.key)).length;
      if (
        clash ||
        (built.length > 0 &&
          (apply.length + txn.apply.length > Math.min(this.limits.ops, this.tokens) ||
            when.size + conditions > this.limits.conditions ||
            bytes + size > this.limits.bytes))
      ) {
        rest.push(intent);
        continue;
      }
      bytes += size;
      built.push({ intent, txn });
      for (const c of txn.when) when.set(c.key, c);
      for (const w of txn.apply) touched.add(w.key);
      apply.push(...txn.apply);
    }
    this.queue = rest;
    if (built.length === 0) return;
    const mark = `${this.run}.${++this.count}`;
    for (const w of apply) if (w.data !== undefined) w.data = { ...w.data, w: mark };
    this.flight = { built, txn: { when: [...when.values()], apply }, mark, unsure: false };
    this.waitFor = null;
    this.send(now, out);
  }

  private send(now: number, out: Effect[]): void {
    this.sent = true;
    this.lastAt = now;
    this.tokens -= this.flight!.txn.apply.length;
    out.push({ e: 'commit', txn: this.flight!.txn });
  }

  outcome(o: CommitOutcome, now: number, out: Effect[]): void {
    const flight = this.flight;
    if (!flight) return;
    if (o.r !== 'refused' && o.r !== 'unknown') this.backoffMs = 0;
    switch (o.r) {
      case 'ok':
        this.flight = null;
        this.bulkOff = false;
        // Our own writes are seen at once, not only when the watch delivers them.
        for (const w of flight.txn.apply) this.replica.apply({ key: w.key, data: w.data, stamp: o.epoch });
        for (const b of flight.built) b.intent.ok(o.epoch);
        break;
      case 'conflict':
        if (flight.unsure) {
          // Guards against the lost answer: an earlier sending may have been executed. Look before deciding.
          this.waitFor = { epoch: o.epoch, failed: o.failed };
          out.push({ e: 'catch-up', epoch: o.epoch });
          if (this.replica.epoch >= o.epoch) this.judge(o.failed, o.epoch);
        } else {
          this.flight = null;
          const failed = new Set(o.failed);
          for (const b of flight.built) {
            const mine = b.txn.when.filter((c) => failed.has(c.key)).map((c) => c.key);
            if (mine.length > 0) b.intent.conflict(mine, o.epoch);
            else this.queue.push(b.intent);
          }
        }
        break;
      case 'refused':
        this.back(now);
        if (flight.unsure) {
          this.sent = false;
        } else {
          this.flight = null;
          for (const b of flight.built) if (!(b.intent.refused?.() ?? false)) this.queue.push(b.intent);
        }
        break;
      case 'unknown':
        this.back(now);
        flight.unsure = true;
        this.sent = false;
        break;
      case 'unleased':
      case 'malformed':
        this.flight = null;
        if (flight.built.length > 1) {
          // One of them spoils the others: send them one by one.
          this.bulkOff = true;
          for (const b of flight.built) this.queue.push(b.intent);
        } else {
          this.bulkOff = false;
          if (o.r === 'malformed')
            this.log('error', 'transaction malformed', { keys: flight.txn.apply.map((w) => w.key) });
          const keys = flight.txn.when.map((c) => c.key);
          for (const b of flight.built) b.intent.conflict(keys, this.replica.epoch);
        }
        break;
    }
  }

  private back(now: number): void {
    this.backoffMs = Math.min(longestBackoffMs, Math.max(firstBackoffMs, this.backoffMs * 2));
    this.resendAt = now + this.backoffMs;
  }

  /** After a lost answer and a conflict: the marks tell which intents an earlier sending carried out. */
  private judge(failed: string[], epoch: number): void {
    const flight = this.flight!;
    this.flight = null;
    this.waitFor = null;
    const applied = flight.txn.apply.some(
      (w) => w.data !== undefined && this.replica.writer(w.key) === flight.mark,
    );
    const failing = new Set(failed);
    for (const b of flight.built) {
      const put = b.txn.apply.find((w) => w.data !== undefined);
      const here = put && this.replica.writer(put.key) === flight.mark;
      if (here) b.intent.ok(this.replica.stamp(put.key));
      else if (applied && !put) b.intent.ok(epoch);
      else {
        const mine = b.txn.when.filter((c) => failing.has(c.key)).map((c) => c.key);
        if (mine.length > 0 || applied) b.intent.conflict(mine, epoch);
        else this.queue.push(b.intent);
      }
    }
  }
}
