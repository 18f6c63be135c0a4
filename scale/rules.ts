/** Checks the rules of the protocol during a run, from the events of workers and users. */
import type { TaskEvent, UserEvent } from './messages.js';

/**
 * The rules of the protocol, each named after its violation: a task on two machines at a time; a team over its CPU limit; a task on
 * a machine too long after its job's cancellation; an accepted job unknown later; a valid job refused; a job reported done before
 * all its tasks are; a final status that changes; a task of a job that nobody submitted.
 */
export type Rule =
  'ran_twice' | 'quota' | 'ran_cancelled' | 'forgotten' | 'refused' | 'not_done' | 'went_back' | 'invented';

/** A rule violation: the rule, the time and a description. */
export interface Violation {
  rule: Rule;
  at: number;
  text: string;
}

/** The limits that the rules are checked against. */
export interface RuleLimits {
  /** Time after a job's cancellation by which its tasks must have left their machines. */
  cancelS: number;
  /** Upper limit of the CPUs that each team's tasks may use at a time. */
  cpusOfTeam: ReadonlyMap<string, number>;
}

interface TrackedJob {
  team: string;
  tasks: number;
  cpus: number;
  accepted: boolean;
  /** The final status that its user was given. */
  final: 'done' | 'aborted' | null;
  cancelledAt: number | null;
  done: Set<number>;
  /** Hosts of its tasks that are on machines, by task index. */
  placed: Map<number, string>;
}

/** Tolerance in comparing sums of decimal fractions. */
const roundingError = 1e-6;

/** Checks the rules. Events must be passed in order of time. */
export class RuleChecker {
  readonly violations: Violation[] = [];
  private readonly jobs = new Map<string, TrackedJob>();
  private readonly cpusUsed = new Map<string, number>();
  /** Cancelled jobs that may still have tasks on machines. */
  private readonly cancelled = new Set<string>();

  constructor(private readonly limits: RuleLimits) {}

  /** Processes a task event of a worker. */
  onTaskEvent(event: TaskEvent): void {
    const job = this.jobs.get(event.job);
    const taskId = `${event.job}/${event.index}`;
    if (!job)
      return this.recordViolation(
        'invented',
        event.at,
        `${taskId} is on a machine, but its job was not submitted`,
      );
    if (event.what === 'on') this.startTask(job, taskId, event);
    else if (event.what === 'done') job.done.add(event.index);
    else if (job.placed.get(event.index) === event.host) {
      job.placed.delete(event.index);
      this.addUsage(job, -job.cpus);
    }
  }

  private startTask(job: TrackedJob, taskId: string, { at, host, index }: TaskEvent): void {
    const other = job.placed.get(index);
    if (other !== undefined)
      this.recordViolation('ran_twice', at, `${taskId} started on ${host} while running on ${other}`);
    else this.addUsage(job, job.cpus);
    job.placed.set(index, host);
    const used = this.cpusUsed.get(job.team) ?? 0;
    const cpuLimit = this.limits.cpusOfTeam.get(job.team);
    if (cpuLimit !== undefined && used > cpuLimit + roundingError)
      this.recordViolation('quota', at, `${job.team} uses ${used} of ${cpuLimit} CPUs`);
    this.checkCancelled(taskId, job, at);
  }

  /** Processes an action of a user or an answer to it. */
  onUserEvent(e: UserEvent): void {
    if (e.what === 'submitted') {
      const { team, tasks, cpus } = e;
      const initialState = { accepted: false, final: null, cancelledAt: null };
      this.jobs.set(e.job, { team, tasks, cpus, ...initialState, done: new Set(), placed: new Map() });
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
      this.recordViolation('forgotten', at, `${id} was accepted and is now reported unknown`);
    if (status.startsWith('refused'))
      this.recordViolation('refused', at, `${id} is valid, but was ${status}`);
    if (status === 'done' && job.done.size < job.tasks)
      this.recordViolation(
        'not_done',
        at,
        `${id} is reported done with ${job.done.size} of ${job.tasks} tasks completed`,
      );
    if (job.final !== null && status !== job.final)
      this.recordViolation('went_back', at, `${id} was ${job.final} and is now reported ${status}`);
    if (status === 'done' || status === 'aborted') job.final ??= status;
  }

  /** Looks for tasks of cancelled jobs that have been on machines for too long. Must be called periodically. */
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

/** Merges the events of several processes in order of time. Each event is held until no earlier one can arrive. */
export class EventReorderBuffer<Event extends { at: number }> {
  private buffered: Event[] = [];

  /** `delayMs`: the maximum delay with which an event arrives. */
  constructor(private readonly delayMs: number) {}

  /** Adds events of one process. */
  add(events: Event[]): void {
    for (const event of events) this.buffered.push(event);
  }

  /** Removes and returns the events that are old enough, in order of time. */
  take(now: number): Event[] {
    const until = now - this.delayMs;
    this.buffered.sort((a, b) => a.at - b.at);
    const firstTooRecent = this.buffered.findIndex((event) => event.at > until);
    return this.buffered.splice(0, firstTooRecent < 0 ? this.buffered.length : firstTooRecent);
  }
}
