/** The rules of the protocol, checked while a run goes on, by what workers did and what users were told. */
import type { TaskEvent, UserEvent } from './messages.js';

/** The rules of the protocol that a run checks. */
export type Rule =
  'ran_twice' | 'quota' | 'ran_cancelled' | 'forgotten' | 'refused' | 'not_done' | 'went_back' | 'invented';

/** A broken rule: which, when, and by what. */
export interface Violation {
  rule: Rule;
  at: number;
  text: string;
}

/** The limits that the rules refer to. */
export interface RuleLimits {
  cancelS: number;
  /** The most CPUs that a team's tasks may use at a time. */
  cpusOfTeam: ReadonlyMap<string, number>;
}

interface TrackedJob {
  team: string;
  tasks: number;
  cpus: number;
  accepted: boolean;
  /** The final state that its user was told. */
  final: 'done' | 'aborted' | null;
  cancelledAt: number | null;
  done: Set<number>;
  /** Its tasks that are on machines, and on which. */
  placed: Map<number, string>;
}

/** Compared as sums of decimal numbers. */
const roundingError = 1e-6;

/** Takes events in the order of their times. */
export class RuleChecker {
  readonly violations: Violation[] = [];
  private readonly jobs = new Map<string, TrackedJob>();
  private readonly cpusUsed = new Map<string, number>();
  /** Cancelled jobs of which something is still on a machine. */
  private readonly cancelled = new Set<string>();

  constructor(private readonly limits: RuleLimits) {}

  /** A task started or ended on a machine. */
  onTaskEvent(event: TaskEvent): void {
    const job = this.jobs.get(event.job);
    const taskId = `${event.job}/${event.index}`;
    if (!job) return this.recordViolation('invented', event.at, `${taskId} started, which nobody submitted`);
    if (event.what === 'on') this.startTask(job, taskId, event);
    else if (event.what === 'done') job.done.add(event.index);
    else if (job.placed.get(event.index) === event.host) {
      job.placed.delete(event.index);
      this.addUsage(job, -job.cpus);
    }
  }

  private startTask(job: TrackedJob, taskId: string, { at, host, index }: TaskEvent): void {
    const other = job.placed.get(index);
    if (other !== undefined) this.recordViolation('ran_twice', at, `${taskId} on ${host} while on ${other}`);
    else this.addUsage(job, job.cpus);
    job.placed.set(index, host);
    const used = this.cpusUsed.get(job.team) ?? 0;
    const cpuLimit = this.limits.cpusOfTeam.get(job.team);
    if (cpuLimit !== undefined && used > cpuLimit + roundingError)
      this.recordViolation('quota', at, `${job.team} uses ${used} of ${cpuLimit} CPUs`);
    this.checkCancelled(taskId, job, at);
  }

  /** A user submitted a job or was answered. */
  onUserEvent(e: UserEvent): void {
    if (e.what === 'submitted') {
      const { team, tasks, cpus } = e;
      const before = { accepted: false, final: null, cancelledAt: null };
      this.jobs.set(e.job, { team, tasks, cpus, ...before, done: new Set(), placed: new Map() });
      return;
    }
    const job = this.jobs.get(e.job);
    if (!job) return;
    if (e.what === 'accepted') job.accepted = true;
    else if (e.what === 'told') this.onStatus(e.job, job, e.status, e.at);
    else if (e.what === 'cancelled') {
      job.cancelledAt = e.at;
      this.cancelled.add(e.job);
    }
  }

  private onStatus(id: string, job: TrackedJob, status: string, at: number): void {
    if (status === 'unknown' && job.accepted)
      this.recordViolation('forgotten', at, `${id} was accepted, is unknown`);
    if (status.startsWith('refused')) this.recordViolation('refused', at, `${id} is valid, got ${status}`);
    if (status === 'done' && job.done.size < job.tasks)
      this.recordViolation(
        'not_done',
        at,
        `${id} is called done with ${job.done.size} of ${job.tasks} tasks`,
      );
    if (job.final !== null && status !== job.final)
      this.recordViolation('went_back', at, `${id} was ${job.final}, is called ${status}`);
    if (status === 'done' || status === 'aborted') job.final ??= status;
  }

  /** To be called now and then: tasks of cancelled jobs that are on machines for too long. */
  sweep(at: number): void {
    for (const id of this.cancelled) {
      const job = this.jobs.get(id)!;
      const isLate = at - job.cancelledAt! > this.limits.cancelS * 1000;
      if (isLate && job.placed.size > 0) this.checkCancelled(id, job, at);
      if (isLate && job.placed.size === 0) this.cancelled.delete(id);
    }
  }

  private checkCancelled(name: string, job: TrackedJob, at: number): void {
    if (job.cancelledAt === null || at - job.cancelledAt <= this.limits.cancelS * 1000) return;
    const lateS = (at - job.cancelledAt) / 1000;
    this.recordViolation(
      'ran_cancelled',
      at,
      `${name} is on a machine ${lateS.toFixed(1)} s after its cancellation`,
    );
  }

  private addUsage(job: TrackedJob, cpus: number): void {
    this.cpusUsed.set(job.team, (this.cpusUsed.get(job.team) ?? 0) + cpus);
  }

  private recordViolation(rule: Rule, at: number, text: string): void {
    this.violations.push({ rule, at, text });
  }
}

/** Puts events of several processes in the order of their times: each is held until no earlier one can come any more. */
export class EventReorderBuffer<Event extends { at: number }> {
  private buffered: Event[] = [];

  /** `delayMs`: no process sends an event later than this after its time. */
  constructor(private readonly delayMs: number) {}

  /** Takes in events of one process. */
  add(events: Event[]): void {
    for (const event of events) this.buffered.push(event);
  }

  /** Events that are old enough, in order. */
  take(now: number): Event[] {
    const until = now - this.delayMs;
    this.buffered.sort((a, b) => a.at - b.at);
    const firstTooRecent = this.buffered.findIndex((event) => event.at > until);
    return this.buffered.splice(0, firstTooRecent < 0 ? this.buffered.length : firstTooRecent);
  }
}
