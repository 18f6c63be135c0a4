/** Workers' reports: what they prove of placements, and the orders that they are answered with. */
import { taskKey } from '../model/job.js';
import type { TaskOrder, Heartbeat, TaskStatus } from '../model/heartbeat.js';
import { enoughEvidence, evidence, suspect, suspectMachines } from './failures.js';
import type { Books } from './shard-state/shard-state.js';
import { chunkOf } from './shard-state/jobs.js';
import type { Effect } from './effects.js';
import { imageFetchS } from '../policy/pricing.js';
import type { Chunk, JobRun, MachineRun, Placement } from './shard-state/types.js';

const ordersPerAnswer = 400;
/** A job that fails wherever it goes is tried again after so many worker leases at the latest. */
const longestRetryLeases = 2.5;

/** What workers report and are told: takes reports in as proof, and turns what is durable into orders. */
export class Checkins {
  /** Exited tasks that are to be forgotten once their end is durable. */
  private readonly pendingForget = new Map<string, { chunk: Chunk; version: number; job: JobRun }>();

  constructor(private readonly books: Books) {}

  /** Takes in a report of a machine of ours; returns the orders to answer with. */
  checkin(m: MachineRun, report: Heartbeat, token: number): TaskOrder[] {
    const now = this.books.clock.now;
    m.endpoint = report.endpoint;
    m.heardAt = now;
    if (m.token !== token) {
      m.token = token;
      m.provenAt = 0;
    }
    // Under our token no earlier owner can renew the lease any more.
    const proof = report.token === token;
    const leaseEnd = now + this.books.settings.workers.lease_s * 1000;
    m.leaseUntil = proof ? leaseEnd : Math.max(m.leaseUntil, leaseEnd);
    // Guards against the late report: its list is as old as itself, and its answer will be dropped.
    if (!later(report, [m.session, m.seq])) return [];
    m.session = report.session;
    m.seq = report.seq;
    if (proof) {
      // Guards against returning a machine for having been idle while it booted.
      if (m.provenAt === 0 && m.placements.size === 0) m.idleSince = now;
      m.provenAt = now;
    }
    if (report.noticeS !== null && m.noticeAt === 0) this.onNotice(m, report.noticeS);
    const orders: TaskOrder[] = [];
    const listed = new Map<string, TaskStatus>();
    for (const t of report.tasks) listed.set(taskKey(t.job, t.index), t);
    for (const [piece, p] of [...m.placements]) {
      if (p.job.frozen) continue;
      const t = listed.get(piece);
      // Guards against the old copy that a new owner hears first: a gang that was mended has the same attempt there again.
      // That a task was completed stays true; that it ended otherwise counts only under our token.
      const ended = t?.phase === 'exited' && t.why !== 'done';
      if (t?.attempt === p.attempt) {
        if (proof || !ended) this.observe(m, p, t);
      } else if (proof && (p.sent === null || later(report, p.sent))) this.absent(m, p);
    }
    for (const [piece, t] of listed) {
      const p = m.placements.get(piece);
      // Guards against stopping, or forgetting the result of, what a newer program has placed here.
      if (p?.job.frozen || this.books.replica.isJobUnreadable(t.job)) continue;
      if (p?.attempt === t.attempt) {
        if (p.stop && t.phase !== 'exited') orders.push(stopOrder(p, p.stop.graceS));
      } else if (t.phase === 'exited') {
        const held = this.pendingForget.get(forgetKey(m.host, piece, t.attempt));
        // Guards against losing a result: a task is forgotten only after its end is durable.
        if (!held || held.chunk.durable >= held.version || this.books.jobs.get(held.job.id) !== held.job) {
          if (
            !held ||
            this.books.replica.jobs.get(t.job)?.state !== 'open' ||
            held.chunk.durable >= held.version
          )
            orders.push({ op: 'forget', job: t.job, index: t.index, attempt: t.attempt });
          this.pendingForget.delete(forgetKey(m.host, piece, t.attempt));
        }
      } else if (proof) {
        this.books.log('warn', 'stray task', { piece, attempt: t.attempt, host: m.host });
        const job = this.books.jobs.get(t.job);
        if (job && t.index < job.spec.tasks)
          this.books.attempted(piece, t.attempt, chunkOf(job, t.index).last);
        orders.push({ op: 'stop', job: t.job, index: t.index, attempt: t.attempt, graceS: 0 });
      }
    }
    if (proof) this.starts(m, report, listed, orders);
    return orders.slice(0, ordersPerAnswer);
  }

  private starts(
    m: MachineRun,
    report: Heartbeat,
    listed: ReadonlyMap<string, TaskStatus>,
    orders: TaskOrder[],
  ): void {
    if (m.noticeAt > 0) return;
    for (const [piece, p] of m.placements) {
      if (orders.length >= ordersPerAnswer) break;
      // Guards against a machine that has changed since it was chosen. What may have been sent stays where it is.
      if (p.own && p.sent === null && p.job.match?.allows(m.host) === false) {
        this.books.gone(p, 'the machine matches no longer');
        continue;
      }
      if (listed.get(piece)?.attempt === p.attempt || p.stop || !this.startable(p)) continue;
      p.sent = [report.session, report.seq];
      orders.push({ op: 'start', job: p.job.id, index: p.index, attempt: p.attempt });
    }
  }

  /** Placements of a machine that are on their way to being durable. */
  pending(m: MachineRun): boolean {
    for (const p of m.placements.values())
      if (p.own && p.sent === null && p.stop === null && !this.startable(p)) return true;
    return false;
  }

  /** What a machine is to be told now, in answer to the newest report of it that was taken in before. */
  ordersNow(m: MachineRun, report: Heartbeat): TaskOrder[] {
    const orders: TaskOrder[] = [];
    const listed = new Map<string, TaskStatus>();
    for (const t of report.tasks) {
      const piece = taskKey(t.job, t.index);
      listed.set(piece, t);
      const p = m.placements.get(piece);
      if (p?.attempt === t.attempt && p.stop && t.phase !== 'exited')
        orders.push(stopOrder(p, p.stop.graceS));
    }
    this.starts(m, report, listed, orders);
    return orders;
  }

  /** Guards against starting what a crash could forget: durable first, and a gang's attempt as a whole. */
  private startable(p: Placement): boolean {
    if (p.job.cancelled || p.job.finishing || p.job.frozen || !this.books.mayStart()) return false;
    if (p.job.spec.shape !== 'gang') return p.chunk.durable >= p.version;
    for (const q of p.job.active.values()) if (q.chunk.durable < q.version) return false;
    return true;
  }

  private observe(m: MachineRun, p: Placement, t: TaskStatus): void {
    const now = this.books.clock.now;
    if (t.phase !== 'exited') {
      p.phase = t.phase;
      m.images.set(p.job.spec.image, imageFetchS(p.job.spec, m.type));
      if (t.phase === 'running' && p.ranAt === 0) p.ranAt = now;
      if (t.phase === 'waiting' && p.waitingAt === 0) p.waitingAt = now;
      return;
    }
    const { job } = p;
    if (t.why === 'done') {
      m.failures.clear();
      this.books.gone(p, 'done', 'done');
    } else {
      this.books.log('debug', 'task ended', { piece: taskKey(job.id, p.index), host: m.host, why: t.why });
      if (t.why === 'error') this.onError(m, job);
      if (t.why === 'full' || t.why === 'busy')
        m.avoidUntil = now + this.books.settings.workers.report_s * 2000;
      if (t.why === 'unknown') job.notBefore = now + this.books.settings.workers.report_s * 1000;
      this.books.gone(p, t.why ?? 'exited');
    }
    this.pendingForget.set(forgetKey(m.host, taskKey(job.id, p.index), p.attempt), {
      chunk: p.chunk,
      version: p.chunk.version,
      job,
    });
  }

  /** A newer report under our token does not list the attempt: it is not on the machine. */
  private absent(m: MachineRun, p: Placement): void {
    if (p.stop || p.job.cancelled) return this.books.gone(p, 'absent');
    if (p.phase === 'placed') {
      // Never seen there; its start is sent (again) with this answer. A machine under notice gets none.
      if (m.noticeAt > 0 || m.condemned) this.books.gone(p, 'machine not to be used');
      else if (!p.own && p.sent === null && !this.books.stillFits(p))
        this.books.gone(p, 'given up by the owner before');
      return;
    }
    this.books.gone(p, 'vanished', 'lost');
  }

  private onNotice(m: MachineRun, noticeS: number): void {
    m.noticeAt = this.books.clock.now + noticeS * 1000;
    this.books.hazard.recordInterruption();
    this.books.log('info', 'notice', { host: m.host, noticeS });
    for (const p of m.placements.values()) {
      const { spec } = p.job;
      // What can save, saves; what cannot may still finish in time.
      if (spec.checkpointS > 0 && spec.shape !== 'gang' && spec.saveS <= noticeS)
        this.books.stop(p, spec.saveS);
      if (spec.shape === 'gang') this.books.stopGang(p.job);
    }
  }

  private onError(m: MachineRun, job: JobRun): void {
    m.failures.set(job.id, (m.failures.get(job.id) ?? 0) + 1);
    const before = job.errors.size;
    job.errors.add(m.host);
    if (!suspect(job)) return this.judge(m);
    // Guards against a crowd of first tries that all fail at about the same time: together they are one.
    if (job.active.size <= 1) job.probes++;
    const w = this.books.settings.workers;
    const waitS = Math.min(longestRetryLeases * w.lease_s, w.report_s * 2 ** job.probes);
    job.notBefore = this.books.clock.now + waitS * 1000;
    // The machines that it failed on first are cleared.
    if (before < job.errors.size && job.errors.size === suspectMachines) {
      this.books.log('info', 'job fails on several machines', { job: job.id, hosts: [...job.errors] });
      this.judgeAll(job);
      job.chunks[0].version++;
      this.books.writer.noteEnd(job, job.chunks[0]);
    }
  }

  judgeAll(job: JobRun): void {
    for (const host of job.errors) {
      const m = this.books.machines.get(host);
      if (m) this.judge(m);
    }
  }

  /** Weighs what failed on a machine: it is given up, rests for a while, or is cleared. */
  private judge(m: MachineRun): void {
    const against = evidence(m.failures, (id) => this.books.jobs.get(id));
    if (against < enoughEvidence) {
      m.avoidUntil = against > 0 ? this.books.clock.now + this.books.settings.workers.report_s * 4000 : 0;
      return;
    }
    if (m.condemned) return;
    this.books.log('warn', 'machine fails its tasks', {
      host: m.host,
      failures: Object.fromEntries(m.failures),
    });
    m.condemned = true;
    for (const p of m.placements.values())
      if (p.job.spec.shape !== 'gang') this.books.stop(p, p.job.spec.saveS);
  }

  /**
   * In a pool, machines are asked for a report when there is something to start on them. The starts themselves go with its
   * answer: sent straight, one could be carried out after a report that was on its way then, and that lists nothing, had
   * been taken for proof that it is not there.
   */
  askForReports(out: Effect[]): void {
    const { unsentStarts } = this.books;
    if (unsentStarts.size === 0) return;
    const wanted = new Set<MachineRun>();
    for (const p of unsentStarts) {
      const gone = p.job.active.get(p.index) !== p;
      if (!gone && p.sent === null && !this.startable(p)) continue;
      unsentStarts.delete(p);
      const m = this.books.machines.get(p.host);
      if (!gone && p.sent === null && m && m.endpoint !== '' && m.provenAt > 0) wanted.add(m);
    }
    for (const m of wanted) out.push(straight(m, []));
  }

  /**
   * Stops that a worker has not been told yet, to be sent straight to it: a cancelled task is of no use to
   * anybody, and a gang's tasks must hear of an orderly stop at about the same time.
   */
  sendStops(out: Effect[]): void {
    if (this.books.unsentStops.size === 0) return;
    const byMachine = new Map<MachineRun, TaskOrder[]>();
    for (const p of this.books.unsentStops) {
      const m = this.books.machines.get(p.host);
      if (p.job.active.get(p.index) !== p || p.stop === null) {
        this.books.unsentStops.delete(p);
        continue;
      }
      if (p.job.frozen) continue;
      if (!m || m.endpoint === '' || m.provenAt === 0 || (p.sent === null && p.phase === 'placed')) continue;
      const orders = byMachine.get(m) ?? [];
      if (orders.length >= ordersPerAnswer) continue;
      this.books.unsentStops.delete(p);
      byMachine.set(m, orders);
      orders.push(stopOrder(p, p.stop.graceS));
    }
    for (const [m, orders] of byMachine) out.push(straight(m, orders));
  }
}

const stopOrder = ({ job, index, attempt }: Placement, graceS: number): TaskOrder => ({
  op: 'stop',
  job: job.id,
  index,
  attempt,
  graceS,
});

const straight = ({ host, endpoint, token, session }: MachineRun, orders: TaskOrder[]): Effect => ({
  e: 'order',
  host,
  endpoint,
  token,
  session,
  orders,
});

/** Whether a report is newer than what was seen up to this session and number. */
export const later = (r: Heartbeat, [session, seq]: [number, number]): boolean =>
  r.session > session || (r.session === session && r.seq > seq);

const forgetKey = (host: string, piece: string, attempt: number): string => `${host} ${piece} ${attempt}`;
