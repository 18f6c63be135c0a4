/** Keeps gangs whole: replaces tasks that were lost before the start, and tears down attempts that cannot continue. */
import type { Settings } from '../../config/settings.js';
import type { Clock, Log } from '../effects.js';
import { canRepairGang } from './gang-repair.js';
import { waitingTaskCount } from './jobs.js';
import type { Placement, ScheduledJob } from './types.js';

/** What the coordinator needs from the shard state. */
export interface GangContext {
  readonly clock: Clock;
  readonly workers: Settings['workers'];
  readonly log: Log;
  /** Requests that a task stops, with `graceS` seconds to save its state. */
  requestStop(placement: Placement, graceS: number): void;
  /** Removes a placement whose start no worker can have received. It must not check the gang again. */
  removeUnsent(placement: Placement): void;
}

/**
 * Reacts to lost tasks of gangs, and stops whole gangs. A tear-down visits the tasks of a gang once, however many of them end
 * during it.
 */
export class GangCoordinator {
  constructor(private readonly context: GangContext) {}

  /** Handles the end of a task that has not completed: the attempt cannot continue without it. */
  handleTaskEnd(job: ScheduledJob, ended: Placement): void {
    if (isIncomplete(job)) this.abandonAttempt(job, ended);
    else finishTearDownIfEmpty(job);
  }

  /**
   * Handles the loss of tasks together with their machine. If all tasks of the attempt still waited to start, the lost ones are
   * replaced within the same attempt. Otherwise the attempt cannot continue.
   */
  handleLostTasks(job: ScheduledJob, lost: readonly Placement[]): void {
    const { clock, workers, log } = this.context;
    if (!isIncomplete(job)) return finishTearDownIfEmpty(job);
    if (!canRepairGang(job, lost, clock.now, workers)) return this.abandonAttempt(job, lost[0]);
    if (job.repairAttempt === null) log('info', 'gang repaired', { job: job.id, lost: lost[0].index });
    job.repairAttempt = lost[0].attempt;
  }

  /** Handles a gang whose stored placements were loaded: an attempt that lacks tasks cannot continue. */
  handleLoaded(job: ScheduledJob): void {
    if (isIncomplete(job)) this.abandonAttempt(job);
  }

  /** Stops a whole gang gracefully: all tasks are stopped at about the same time, with time to save their state. */
  stop(job: ScheduledJob): void {
    this.tearDown(job, job.spec.saveS);
  }

  private abandonAttempt(job: ScheduledJob, lost?: Placement): void {
    if (!job.tearingDown) this.context.log('info', 'gang torn down', { job: job.id, lost: lost?.index });
    this.tearDown(job, 0);
  }

  /**
   * Stops the tasks that may have been started, and removes the others. No task is added during a tear-down, so the first call
   * covers all of them.
   */
  private tearDown(job: ScheduledJob, graceS: number): void {
    if (job.tearingDown) return;
    job.tearingDown = true;
    job.repairAttempt = null;
    for (const placement of job.placements.values())
      if (isUnsent(placement)) this.context.removeUnsent(placement);
      else this.context.requestStop(placement, graceS);
    finishTearDownIfEmpty(job);
  }
}

/** Whether no worker can have received the start command of a placement. */
export const isUnsent = ({ placedByThisProcess, startSentWith }: Placement): boolean =>
  placedByThisProcess && startSentWith === null;

/** Ends the tear-down of a gang if no task of the attempt is left: the gang may be placed again. */
export function finishTearDownIfEmpty(job: ScheduledJob): void {
  if (job.placements.size > 0) return;
  job.tearingDown = false;
  job.repairAttempt = null;
}

/** Whether some tasks of a gang are placed, and others wait. */
const isIncomplete = (job: ScheduledJob): boolean => waitingTaskCount(job) > 0 && job.placements.size > 0;
