/** Takes up and lets go of shards, and gives placement rounds and upkeep their turns. */
import type { Operators } from '../config/operators.js';
import type { Settings } from '../config/settings.js';
import type { Matcher } from '../policy/matching.js';
import { Books } from './shard-state/shard-state.js';
import type { JobRun, MachineRun } from './shard-state/types.js';
import { Checkins } from './heartbeat-reconciler.js';
import type { Committer } from './storage/index.js';
import type { Clock, Effect, Log } from './effects.js';
import type { Replica } from './replica.js';
import { Sweep } from '../feature-levels/index.js';
import { moveOff } from './scheduling/spot-migration.js';
import { placeRound } from './scheduling/cycle.js';
import { summarize } from './summary.js';
import { Upkeep } from './machine-lifecycle.js';

/** A placement round goes on for so many machines looked at, then lets others have their turn for this long. */
const mostLookedAt = 6000;
const sliceMs = 20;
const sweepMs = 1000;

/** The shards of this process: takes them up, lets go of them, and gives rounds and upkeep their turns. */
export class Dispatcher {
  readonly books: Books;
  readonly checkins: Checkins;
  private readonly upkeep: Upkeep;
  /** The placement round under way. */
  private round: Generator<number, void> | null = null;
  private slicedAt = -Infinity;
  /** Machines that placement has looked at so far: what its work is measured by. */
  looked = 0;
  private lastRound = -Infinity;
  /** When a move was last ordered, ms. */
  private movedAt = -Infinity;
  private lastSweep = -1;
  private summedAt = 0;
  /** When a shard was last taken up, ms. */
  tookUpAt = -Infinity;
  private readonly toProve = new Set<MachineRun>();
  private readonly migration: Sweep;
  /** Jobs may be stored otherwise than the level in force has it. */
  private astray = true;

  /** What others add to the summary. */
  more: () => object = () => ({});

  constructor(
    private readonly settings: Settings,
    private readonly operators: Operators,
    private readonly run: string,
    private readonly replica: Replica,
    committer: Committer,
    private readonly clock: Clock,
    private readonly log: Log,
    matcher: Matcher | null = null,
  ) {
    const listener = { succeeded: (job: JobRun) => this.checkins.judgeAll(job) };
    this.books = new Books(settings, operators, replica, committer, clock, log, listener, matcher);
    this.checkins = new Checkins(this.books);
    this.upkeep = new Upkeep(this.books, committer);
    const { write_rps } = settings.state;
    this.migration = new Sweep(write_rps, operators['sweep-share'], settings.workers.lease_s * 500);
  }

  /** Another level is in force. */
  levelChanged(): void {
    this.astray = true;
  }

  /** What no other write reaches is rewritten, in the order of age, as the level in force has it. */
  private migrate(): void {
    if (!this.astray) return;
    const { now } = this.clock;
    const { writer } = this.books;
    let allowed = this.migration.allowed(now);
    let left = 0;
    for (const job of this.books.jobs.values()) {
      if (!writer.astray(job)) continue;
      left++;
      if (allowed <= 0) continue;
      const writes = writer.rewrite(job);
      this.migration.wrote(writes);
      allowed -= writes;
    }
    this.astray = left > 0;
    const progress = this.migration.progress(now, left);
    const { write } = this.replica.levels.state;
    if (progress)
      this.log('info', left > 0 ? 'rewriting records' : 'records rewritten', { write, ...progress });
  }

  get jobs(): ReadonlyMap<string, JobRun> {
    return this.books.jobs;
  }

  get machines(): ReadonlyMap<string, MachineRun> {
    return this.books.machines;
  }

  get owned(): ReadonlySet<number> {
    return this.books.owned;
  }

  /** Takes up shards that were granted to this process and lets go of those that were not. */
  syncShards(): void {
    const { books } = this;
    for (const shard of [...books.owned])
      if (!this.isMine(shard)) {
        books.close(shard);
        this.log('info', 'shard lost', { shard, to: this.replica.shards.get(shard)?.owner });
      }
    for (const [shard, grant] of this.replica.shards)
      // The view must include all that earlier owners wrote, so it has to have reached the grant.
      if (!books.owned.has(shard) && this.isMine(shard) && this.replica.watchRevision >= grant.stamp) {
        books.open(shard);
        this.astray = true;
        this.tookUpAt = this.clock.now;
        for (const m of books.machines.values()) if (m.placements.size > 0) this.toProve.add(m);
        this.log('info', 'shard taken up', {
          shard,
          grant: grant.stamp,
          jobs: books.jobs.size,
          machines: books.machines.size,
        });
      }
  }

  /** Machines that held tasks when their shard was taken up and have neither reported nor gone since. */
  get unproven(): readonly MachineRun[] {
    for (const m of this.toProve)
      if (m.provenAt > 0 || m.placements.size === 0 || this.machines.get(m.host) !== m)
        this.toProve.delete(m);
    return [...this.toProve];
  }

  private isMine(shard: number): boolean {
    const g = this.replica.shards.get(shard);
    if (this.replica.levels.standsBy) return false;
    return g?.owner === this.settings.member && g.run === this.run;
  }

  tick(out: Effect[]): void {
    const { now } = this.clock;
    this.books.writer.tick();
    if (this.lastSweep < 0 || now - this.lastSweep >= sweepMs) {
      if (this.lastSweep >= 0) this.sweep((now - this.lastSweep) / 1000);
      this.lastSweep = now;
    }
    this.books.writer.flushEnds();
    if (this.round === null && now - this.lastRound >= this.operators['round-s'] * 1000) {
      this.lastRound = now;
      this.round = placeRound(this.books);
    }
    if (this.round !== null && now - this.slicedAt >= sliceMs) {
      this.slicedAt = now;
      this.slice(this.round);
    }
    this.checkins.sendStops(out);
    this.checkins.askForReports(out);
  }

  private slice(round: Generator<number, void>): void {
    for (let looked = 0; looked < mostLookedAt;) {
      const step = round.next();
      if (step.done) {
        this.round = null;
        this.movedAt = moveOff(this.books, this.movedAt);
        return;
      }
      looked += step.value;
      this.looked += step.value;
    }
  }

  private sweep(elapsedS: number): void {
    this.upkeep.sweep(elapsedS);
    this.migrate();
    const { now } = this.clock;
    if (now - this.summedAt < this.settings.workers.lease_s * 500) return;
    this.summedAt = now;
    summarize(this.books, this.looked, this.more());
  }
}
