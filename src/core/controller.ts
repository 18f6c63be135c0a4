import type { Operators } from '../config/operators.js';
import type { Settings } from '../config/settings.js';
import type { Report } from '../model/report.js';
import { answerOut, redirectOut } from '../wire/worker.js';
import { Committer } from './committer.js';
import { Desk } from './desk.js';
import { Dispatcher } from './dispatcher.js';
import type { Clock, Command, Effect, Log } from './effects.js';
import { Fleet } from './fleet.js';
import { Membership } from './membership.js';
import { Replica } from './replica.js';

const mostRelays = 200;
/** Longer than this share of its state lease between two steps, and a process is taken to have stood still. */
const standstillShare = 1 / 3;
/** Workers wait 4 s for an answer. */
const relayMs = 2000;

/**
 * The one owner of all state of a process. Commands go in by batches, effects come out; given the same
 * commands and clock readings, the effects are the same.
 */
export class Controller {
  readonly replica: Replica;
  readonly membership: Membership;
  readonly dispatcher: Dispatcher;
  readonly fleet: Fleet;
  private readonly committer: Committer;
  private readonly desk: Desk;
  private readonly clock: Clock = { now: 0, wall: 0 };
  /** The view is known to include everything up to this moment, ms. */
  private viewAt = -Infinity;
  private readings: { sentAt: number; epoch: number }[] = [];
  private readAt = -Infinity;
  private wasLeading = false;
  private steppedAt = -Infinity;
  /** Readings of the state's revision that were asked for before this moment prove nothing, ms. */
  private wokeAt = -Infinity;
  private stateLost = false;
  private shardsChanged = true;

  constructor(
    private readonly settings: Settings,
    operators: Operators,
    private readonly run: string,
    private readonly log: Log,
  ) {
    this.replica = new Replica({
      jobChanged: (id, now) => this.dispatcher.books.jobChanged(id, now),
      machineChanged: (host, now) => this.dispatcher.books.machineChanged(host, now),
      shardChanged: () => (this.shardsChanged = true),
    });
    const s = settings.state;
    this.committer = new Committer(
      run,
      {
        ops: s.txn_ops,
        conditions: s.txn_ops * 4,
        // Room for the frame around the values, and for the reading of non-ASCII text.
        bytes: 48 * 1024,
        writesPerS: s.write_rps,
        nodes: 1 + settings.peers.length,
      },
      this.replica,
      log,
    );
    this.membership = new Membership(settings, operators, run, this.replica, this.committer, log);
    this.desk = new Desk(settings, this.replica, this.committer, this.clock);
    this.dispatcher = new Dispatcher(settings, operators, run, this.replica, this.committer, this.clock, log);
    this.fleet = new Fleet(settings, operators, this.replica, this.committer, this.clock, log);
    this.fleet.hazardPerStep = () => this.dispatcher.books.hazard.perStep(operators['hazard-step-s']);
  }

  /** Workers that were sent on to their owner, and when, ms. */
  private readonly redirected = new Map<string, number>();
  /** Reports handed on to their owner, by request, and when, ms. */
  private readonly relays = new Map<number, number>();

  /** The newest revision that a peer told of, and when, ms. */
  private told = { epoch: -1, at: -Infinity };

  /**
   * Whether users should be sent here. In an outage that all nodes share, staying is best: final states are
   * answered still. A node that alone is cut off from the state service must go: its users' polls would fail
   * for as long as their connections last, while the others could answer them.
   */
  get healthy(): boolean {
    if (this.replica.epoch < 0) return false;
    const stale = this.viewAgeMs > this.membership.ttlMs;
    return !(stale && this.told.epoch > this.replica.epoch && this.told.at > this.viewAt);
  }

  step(commands: Command[], clock: Clock): Effect[] {
    const out: Effect[] = [];
    this.clock.now = clock.now;
    this.clock.wall = clock.wall;
    this.desk.out = out;
    this.wake();
    for (const c of commands) this.handle(c, out);
    this.settle();
    this.membership.tick(clock.now, out);
    const leading = this.membership.leading;
    if (leading !== this.wasLeading) {
      this.wasLeading = leading;
      this.log('info', leading ? 'leading' : 'no longer leading');
      this.fleet.reset();
    }
    // Guards against a leader that was cut off or stood still: what it would rent or return may be another's by now.
    if (leading && this.viewAgeMs <= this.membership.ttlMs) this.fleet.tick(out);
    this.dispatcher.tick(out);
    for (const [rid, at] of this.relays)
      if (clock.now - at > relayMs) {
        this.relays.delete(rid);
        out.push({ e: 'answer', rid, status: 503, body: {} });
      }
    this.desk.pump(out);
    this.committer.pump(clock.now, out);
    // Also without requests the view's age must be known: workers are answered only from a fresh one.
    // The leader needs one that is younger than its state lease.
    const readEveryMs = Math.min(
      this.dispatcher.books.freshLimitMs / 8,
      leading ? this.membership.ttlMs / 4 : Infinity,
    );
    if (clock.now - this.readAt > readEveryMs && this.replica.epoch >= 0) out.push({ e: 'epoch' });
    if (out.some((o) => o.e === 'epoch')) this.readAt = clock.now;
    return out;
  }

  /**
   * A process that stood still holds answers and an authority from before. Its view counts as old until a reading that
   * was asked for since: no worker is answered, nothing is rented or returned until then. Its writes need no such guard,
   * their conditions tell.
   */
  private wake(): void {
    const { now } = this.clock;
    const gapMs = now - this.steppedAt;
    this.steppedAt = now;
    if (gapMs <= this.membership.ttlMs * standstillShare || !Number.isFinite(gapMs)) return;
    this.log('warn', 'stood still', { ms: Math.round(gapMs) });
    this.wokeAt = now;
    this.viewAt = -Infinity;
  }

  private settle(): void {
    this.readings = this.readings.filter((r) => {
      if (r.epoch > this.replica.epoch) return true;
      if (r.sentAt < this.wokeAt) return false;
      this.viewAt = Math.max(this.viewAt, r.sentAt);
      return false;
    });
    if (this.readings.length > 50) this.readings.splice(0, 25);
    const lost = Number.isFinite(this.viewAgeMs) && this.viewAgeMs > this.dispatcher.books.freshLimitMs / 2;
    if (lost !== this.stateLost) {
      this.stateLost = lost;
      if (lost) this.log('warn', 'state service not reached', { forMs: Math.round(this.viewAgeMs) });
      else this.log('info', 'state service reached again');
    }
    if (this.shardsChanged) {
      this.dispatcher.syncShards();
      // A grant may be visible before the view has reached it: looked at again until it is taken up.
      this.shardsChanged = [...this.replica.shards].some(
        ([k, g]) => g.owner === this.settings.member && g.run === this.run && !this.dispatcher.owned.has(k),
      );
    }
  }

  get viewAgeMs(): number {
    return this.clock.now - this.viewAt;
  }

  private handle(c: Command, out: Effect[]): void {
    switch (c.c) {
      case 'tick':
        break;
      case 'submit':
        this.desk.submit(c.rid, c.spec, out);
        break;
      case 'query':
        this.desk.query(c.rid, c.id, out);
        break;
      case 'withdraw':
        this.desk.withdraw(c.rid, c.id, out);
        break;
      case 'checkin':
        this.checkin(c.rid, c.report, c.from ?? null, out);
        break;
      case 'relayed':
        this.relays.delete(c.rid);
        out.push({ e: 'answer', rid: c.rid, status: c.status, body: c.body });
        break;
      case 'peer-lost': {
        // Most likely its process ended. Its lease is ended now rather than waited for; if it lives after all,
        // it gets a new one, and the stamps keep both right meanwhile.
        const node = this.replica.nodes.get(c.member);
        if (node && this.viewAgeMs < this.membership.ttlMs) {
          this.log('info', 'peer lost', { member: c.member });
          out.push({ e: 'unlease', hold: node.hold });
        }
        break;
      }
      case 'pulse':
        this.told = { epoch: Math.max(this.told.epoch, c.epoch), at: this.clock.now };
        if (c.epoch > this.replica.epoch) out.push({ e: 'catch-up', epoch: c.epoch });
        break;
      case 'loaded':
        this.replica.load(c.items, c.epoch);
        this.log('info', 'state loaded', { epoch: c.epoch, keys: c.items.length });
        this.shardsChanged = true;
        break;
      case 'changes':
        this.replica.advance(c.changes, c.epoch);
        break;
      case 'committed':
        this.committer.outcome(c.outcome, this.clock.now, out);
        // The others need not wait for their next watch.
        if (c.outcome.r === 'ok') out.push({ e: 'pulse', epoch: c.outcome.epoch });
        break;
      case 'epoch':
        if (c.epoch !== null) this.readings.push({ sentAt: c.sentAt, epoch: c.epoch });
        this.desk.epochRead(c.sentAt, c.epoch, out);
        break;
      case 'leased':
        this.membership.leased(c.hold, this.clock.now);
        break;
      case 'renewed':
        this.membership.renewed(c.hold, c.outcome, this.clock.now);
        break;
      case 'types':
        this.fleet.gotTypes(c.types);
        break;
      case 'rented':
        this.fleet.rented(c.request, c.outcome);
        break;
      case 'deleted':
        this.fleet.deleted(c.hosts, c.ok);
        break;
      case 'listed':
        this.fleet.listed(c.machines, c.askedAt);
        break;
    }
  }

  private checkin(rid: number, report: Report, from: string | null, out: Effect[]): void {
    const answer = (status: number, body: object, retryAfterS?: number) =>
      void out.push({ e: 'answer', rid, status, body, retryAfterS });
    // Guards against acting on an old view: a cancellation seen by users could be missed here, and the
    // answer would keep the task alive.
    if (this.viewAgeMs > this.dispatcher.books.freshLimitMs) return answer(503, {}, 1);
    const { member } = this.settings;
    const m = this.replica.machines.get(report.host);
    if (!m) {
      if (this.membership.leading) {
        this.fleet.unexpected(report);
        return answer(503, {}, 1);
      }
      return answer(421, redirectOut(this.replica.lead?.member ?? null));
    }
    const custodian = this.replica.custodian(m);
    if (!custodian || custodian.member !== member || custodian.run !== this.run) {
      const there =
        custodian !== null &&
        custodian.member !== member &&
        this.replica.isAlive(custodian.member, custodian.run);
      // A worker that was sent there and is here again cannot reach the owner: its report goes through us, so
      // that a cut between two zones does not cost its lease.
      const sentAt = this.redirected.get(report.host) ?? -Infinity;
      const lease = this.settings.workers.lease_s * 1000;
      if (there && from === null && this.clock.now - sentAt < lease && this.relays.size < mostRelays) {
        this.redirected.set(report.host, this.clock.now);
        this.relays.set(rid, this.clock.now);
        out.push({ e: 'relay', to: custodian.member, rid, report });
        return;
      }
      if (there) this.redirected.set(report.host, this.clock.now);
      return answer(421, redirectOut(there ? custodian.member : null));
    }
    this.redirected.delete(report.host);
    // Somebody came under a newer token: we are the stale owner and do not know it yet.
    if (report.token > custodian.token) return answer(421, redirectOut(null));
    if (m.shard < 0) {
      this.fleet.heardFrom(m.host);
      return answer(200, answerOut(custodian.token, []));
    }
    const run = this.dispatcher.machines.get(m.host);
    if (!run) return answer(503, {}, 1);
    this.fleet.heardFrom(m.host);
    const orders = this.dispatcher.checkins.checkin(run, report, custodian.token);
    answer(200, answerOut(custodian.token, orders));
  }
}
