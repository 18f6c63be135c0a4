/** Notices that the state service has lost data, and brings back what controllers still know. */
import type { Settings } from '../config/settings.js';
import type { Data } from '../formats/index.js';
import {
  incarnationOf,
  mostIncarnations,
  merge,
  same,
  Witness,
  audit,
  type Incarnation,
  type Stage,
} from '../data-loss/index.js';
import { features } from '../feature-levels/index.js';
import type { Write } from '../wire/store.js';
import { type Committer, incData, incKey, levelKey, Rank, readKey } from './storage/index.js';
import type { Clock, Effect, Log, Pulse } from './effects.js';
import { barred, dataOf, isOver, kindOfRef, legacyOf, type Legacy } from './recovery-records.js';
import type { Neighbours } from './peers.js';
import type { Replica } from './replica.js';

/** So many records are on their way at a time. */
const together = 48;
/** Pages of the audit: keys in one, and their share of the state service's requests. */
const auditKeys = 50;
const auditShare = 0.005;
/** Of the state lease: how long whoever knows less waits for whoever knows more to open, and how often is looked. */
const rankLeases = 0.5;
/** Whoever opened and was not heard of for so many state leases is taken to be gone. */
const goneLeases = 2;
/**
 * Members that are not there are waited for during so many worker leases before all counts as found: longer than starts have
 * to wait in any case, and short enough that nobody who asks about a job stays without an answer for long.
 */
const absentLeases = 2.5;

/**
 * Notices that the state service has lost data, and brings back what is known. A controller that notices begins anew with what
 * it knew (its legacy); one opens another incarnation by a conditional write, everybody writes what the state lacks, and work
 * goes on. Every write is on condition of the incarnation: whoever has not joined it can do nothing.
 */
export class Rebuilding {
  private readonly witness = new Witness();
  /** Why; `joins`: another has opened an incarnation, so what this process knew is of the one before. */
  private doubt: { why: string; joins: boolean } | null = null;
  /** What still has to be given; null: nothing (any more). */
  private left: [string, Data][] | null;
  private written = 0;
  private writing = 0;
  private busy = false;
  private seen: { n: number; at: number } | null = null;
  private heardOpenerAt = 0;
  private auditAt = -Infinity;
  private auditFrom = '';
  private asking = false;
  private later: {
    from: string;
    to: string | null;
    items: { key: string; stamp: number }[];
    epoch: number;
  } | null = null;
  private saidAt = -Infinity;

  constructor(
    private readonly settings: Settings,
    private readonly run: string,
    private readonly replica: Replica,
    private readonly committer: Committer,
    private readonly neighbours: Neighbours,
    private readonly clock: Clock,
    private readonly ttlMs: number,
    /** How long a controller may answer workers without having confirmed its view, and then a worker's lease, ms. */
    private readonly waitMs: number,
    private legacy: Legacy | null,
    private readonly log: Log,
  ) {
    this.left = legacy ? [...legacy.records] : null;
    this.legacyJobs = [...(legacy?.records.keys() ?? [])].filter((key) => key.startsWith('dp/j/')).length;
  }

  /** Whether anybody may act: write, grant, start, rent, return, answer workers. */
  get acting(): boolean {
    return this.given && this.replica.inc?.stage !== 'open';
  }

  /** Whether all that others need to act has been given of what this process knew; jobs that are over follow. */
  get given(): boolean {
    return this.legacy === null || this.fleetGiven;
  }
  private fleetGiven = false;

  /** Jobs that this process knows, also those that it has still to give. */
  get jobs(): number {
    return Math.max(this.replica.jobKeys, this.legacyJobs);
  }
  private readonly legacyJobs: number;

  /**
   * Whether a job that is not there was never accepted. What may be running somewhere is known then, too: it has been told, or
   * its lease has ended.
   */
  get sureOfAbsence(): boolean {
    if (!this.acting || (this.replica.inc?.stage ?? 'whole') !== 'whole') return false;
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
      patient || this.settings.peers.length === 0 || (this.allHeardAt >= 0 && agreedAt > this.allHeardAt);
  }

  get wantsReading(): boolean {
    const { now } = this.clock;
    if (this.confirmed || this.allHeardAt < 0 || now - this.askedAt < this.ttlMs / 32) return false;
    this.askedAt = now;
    return true;
  }
  private askedAt = -Infinity;
  private allHeardAt = -1;
  private confirmed = false;
  private loadedAt = -1;

  // ---- noticing ----

  reached(epoch: number): void {
    this.witness.reached(epoch, this.clock.now);
  }

  read(sentAt: number, epoch: number | null): void {
    if (epoch === null) return;
    this.suspect(this.witness.read(sentAt, epoch, this.replica.inc?.n ?? 1));
    this.lastRead = { sentAt, epoch };
  }
  private lastRead: { sentAt: number; epoch: number } | null = null;

  heard({ inc, epoch, jobs }: Pick<Pulse, 'inc' | 'epoch' | 'jobs'>): void {
    this.witness.peer(inc, epoch, jobs, this.clock.now);
  }

  /** A worker reports an attempt that is above all that are recorded. */
  attempted(piece: string, attempt: number, last: number): void {
    if (attempt > last) this.suspect(`a worker has ${piece} in attempt ${attempt}, after ${last}`);
  }

  conflicted(failed: { key: string; stamp: number }[], epoch: number): void {
    // A key that was not to be there may have come and gone again.
    for (const f of failed) if (f.stamp > 0) this.witness.failed(f.key, f.stamp, epoch);
  }

  token(token: number): void {
    const n = this.replica.inc?.n ?? 1;
    // Guards against a worker that makes its token up: no incarnation could go above it.
    if (token === 0 || incarnationOf(token) > mostIncarnations) return;
    if (incarnationOf(token) > n) this.atLeast = Math.max(this.atLeast, incarnationOf(token));
    this.suspect(this.witness.token(token, n, this.clock.now));
  }
  /** A worker has seen this incarnation. */
  private atLeast = 0;

  /** A whole reading: jobs are never removed, so one that is not there any more was lost. */
  loaded(items: readonly { key: string }[], epoch: number): void {
    if (this.replica.epoch < 0 || this.replica.inc === null) return;
    const there = new Set(items.map((i) => i.key));
    for (const { key, stamp } of this.replica.known())
      if (stamp <= epoch && key.startsWith('dp/j/') && !there.has(key)) return this.suspect(`${key} is gone`);
  }

  audited(from: string, items: { key: string; stamp: number }[], more: boolean, epoch: number | null): void {
    this.asking = false;
    if (epoch === null) return;
    const to = more && items.length > 0 ? items[items.length - 1].key : null;
    this.later = { from, to, items, epoch };
    this.auditFrom = to ?? '';
  }

  private suspect(why: string | null, joins = false): void {
    if (why !== null && this.doubt === null) this.doubt = { why, joins };
  }

  /** As the leader: looks at a part of what is stored, again and again. */
  audit(out: Effect[]): void {
    const { now } = this.clock;
    if (this.replica.inc?.stage !== 'whole' || this.asking || this.later) return;
    if (now - this.auditAt < 1000 / (this.settings.state.rps * auditShare)) return;
    this.auditAt = now;
    this.asking = true;
    out.push({ e: 'audit', from: this.auditFrom, keys: auditKeys });
  }

  /** True: this controller begins anew, with what it knew. */
  step(out: Effect[]): boolean {
    const { replica, witness } = this;
    if (replica.epoch < 0) return false;
    witness.reached(replica.epoch, this.clock.now);
    this.suspect(witness.settle(replica.epoch, (key) => replica.stamp(key)));
    if (this.later && replica.epoch >= this.later.epoch) {
      const page = this.later;
      this.later = null;
      this.suspect(audit(page, replica.known()));
    }
    const { inc } = replica;
    if (this.loadedAt < 0) this.loadedAt = this.clock.now;
    if (this.allHeardAt < 0 && this.neighbours.allHeard) this.allHeardAt = this.clock.now;
    if (this.lastRead && replica.epoch >= this.lastRead.epoch) {
      const { sentAt, epoch } = this.lastRead;
      this.lastRead = null;
      this.suspect(witness.agrees(sentAt, epoch, inc?.n ?? 0, replica.jobKeys, inc?.stage === 'whole'));
      this.confirm(sentAt);
    } else this.confirm(-1);
    if (inc && this.seen && inc.n > this.seen.n && this.legacy === null && this.seen.n > 0)
      this.suspect(`incarnation ${inc.n} was opened by ${inc.by}`, true);
    if (inc && (this.seen === null || inc.n > this.seen.n)) this.seen = { n: inc.n, at: this.clock.now };
    // Until the state says which incarnation it is, nothing can be told from what it was.
    const { levels } = replica;
    const unnamed = levels.state.stamp === 0 && levels.mine.most >= features.incarnations.level;
    // Below that level there are programs beside this one that could not join.
    if (this.doubt !== null && (levels.has('incarnations') || this.legacy || unnamed)) {
      const n = Math.max(this.seen?.n ?? 0, this.legacy?.n ?? 0, this.atLeast);
      const { why, joins } = this.doubt;
      const was = joins ? n - 1 : n;
      this.log('error', 'state service has lost data', { why, incarnation: was });
      out.push({ e: 'reborn', legacy: legacyOf(replica, this.legacy, was, why) });
      return true;
    }
    this.doubt = null;
    return false;
  }

  // ---- bringing back ----

  tick(mayLead: boolean): void {
    if (this.replica.epoch < 0) return;
    const { inc } = this.replica;
    if (this.legacy !== null) {
      if (inc === null || inc.n <= this.legacy.n) return this.begin(inc);
      this.give();
    }
    if (inc === null) {
      // The first one, once all controllers know what it is.
      if (mayLead && this.replica.levels.has('incarnations'))
        this.put('incarnation named', null, 1, 'whole', []);
      return;
    }
    this.lead(inc);
  }

  /** Opens another incarnation, whoever knows most first. */
  private begin(inc: Incarnation | null): void {
    const legacy = this.legacy!;
    const { now } = this.clock;
    this.seen ??= { n: inc?.n ?? 0, at: now };
    const rank = this.neighbours.knowMore(legacy.epoch);
    if (now - this.seen.at < rank * rankLeases * this.ttlMs) return;
    const n = Math.max(inc?.n ?? 0, legacy.n) + 1;
    // Whoever was there before has to come again; and programs from before must not act on an empty state.
    const drops = [...this.replica.known()]
      .map(({ key }) => key)
      .filter((key) => /^dp\/(node|shard|inc)\//.test(key) || key === 'dp/chief' || key === 'dp/plan')
      .map((key): Write => ({ key, data: undefined }));
    const level = legacy.records.get(levelKey);
    const first = ['dp/level', 'dp/lead', 'dp/kinds'].flatMap((key): Write[] => {
      const data = legacy.records.get(key) ?? (key === 'dp/lead' && level ? { ...barred } : undefined);
      return data
        ? [
            {
              key,
              data: merge(
                kindOfRef(readKey(key)!),
                key === 'dp/lead' ? undefined : dataOf(this.replica, key),
                data,
              ),
            },
          ]
        : [];
    });
    this.put('incarnation opened', inc, n, 'open', [...drops, ...first]);
  }

  /** Writes what the state lacks of what this controller knew. */
  private give(): void {
    const { now } = this.clock;
    if (this.left === null) return;
    // Guards against tasks whose workers' leases end while jobs that are over are brought back: those come last.
    this.fleetGiven ||= this.writing === 0 && (this.left.length === 0 || isOver(...this.left[0]));
    const wait = !this.fleetGiven || this.replica.inc?.stage === 'open';
    while (this.writing < together && this.left.length > 0) {
      if (wait && isOver(...this.left[0])) break;
      const [key, data] = this.left.shift()!;
      if (this.lacking(key, data)) this.giveOne(key, data);
    }
    if (now - this.saidAt > this.ttlMs) {
      this.saidAt = now;
      this.log('info', 'rebuilding', {
        left: this.left.length,
        given: this.written,
        stage: this.replica.inc?.stage,
      });
    }
    if (this.left.length > 0 || this.writing > 0) return;
    this.log('info', 'all given', { records: this.legacy!.records.size, given: this.written });
    this.legacy = this.left = null;
  }

  private lacking(key: string, data: Data): Data | null {
    const there = dataOf(this.replica, key);
    const merged = merge(kindOfRef(readKey(key)!), there, data);
    return there !== undefined && same(there, merged) ? null : merged;
  }

  private giveOne(key: string, data: Data): void {
    this.writing++;
    const again = (): void => {
      this.writing--;
      this.left?.unshift([key, data]);
    };
    this.committer.add({
      rank: isOver(key, data) ? Rank.cleanup : Rank.membership,
      build: () => {
        // Looked at again: others give, too.
        const now = this.left === null ? null : this.lacking(key, data);
        if (now === null) {
          this.writing--;
          return null;
        }
        return { when: [{ key, stamp: this.replica.stamp(key) }], apply: [{ key, data: now }] };
      },
      ok: () => {
        this.writing--;
        this.written++;
      },
      conflict: again,
    });
  }

  /** As whoever opened it, or in its place: the stages of an incarnation. */
  private lead(inc: Incarnation): void {
    if (inc.stage === 'whole' || this.busy) return;
    const { now } = this.clock;
    const mine = inc.by === this.settings.member && inc.run === this.run;
    if (mine || this.neighbours.runOf(inc.by) === inc.run) this.heardOpenerAt = now;
    if (!mine) {
      if (this.heardOpenerAt === 0) this.heardOpenerAt = now;
      const gone = now - this.heardOpenerAt > goneLeases * this.ttlMs;
      // Its part is gone on with: what it has written is there, what it knew beyond that only others can know.
      if (gone && this.left === null) this.put('incarnation taken over', inc, inc.n, inc.stage, []);
      return;
    }
    if (inc.stage === 'open') {
      if (this.given) this.put('work goes on', inc, inc.n, 'serving', []);
      return;
    }
    const sinceMs = now - this.seen!.at;
    const members = [this.settings.member, ...this.settings.peers.map((p) => p.member)];
    const all = members.every((m) => this.replica.nodes.has(m));
    const patient = sinceMs > absentLeases * this.settings.workers.lease_s * 1000;
    const known = this.neighbours.mostJobs <= this.replica.jobKeys;
    if (this.left === null && sinceMs > this.waitMs && (patient || (all && known))) {
      if (!all)
        this.log('warn', 'not all members were there: what only they knew is lost until they come', {
          members: members.filter((m) => !this.replica.nodes.has(m)),
        });
      this.put('rebuilt', inc, inc.n, 'whole', []);
    }
  }

  private put(what: string, inc: Incarnation | null, n: number, stage: Stage, more: Write[]): void {
    if (this.busy) return;
    this.busy = true;
    const done = (): void => void (this.busy = false);
    const stamp = inc?.stamp ?? 0;
    this.committer.add({
      rank: Rank.membership,
      build: () => {
        if ((this.replica.inc?.stamp ?? 0) !== stamp) {
          done();
          return null;
        }
        const apply = [...more, { key: incKey(n), data: incData(this.settings.member, this.run, stage) }];
        return { when: apply.map((w) => ({ key: w.key, stamp: this.replica.stamp(w.key) })), apply };
      },
      ok: () => {
        done();
        this.log('info', what, { incarnation: n, stage });
      },
      conflict: done,
    });
  }
}
