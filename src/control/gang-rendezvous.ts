/** Synchronizes gang starts: no task of a gang runs before all tasks of the attempt are ready on their machines. */
import type { Heartbeat, TaskStatus } from '../model/heartbeat.js';

/**
 * Tracks which tasks of each gang attempt are present, that is, waiting, or already running because the attempt was complete
 * before this process started. Once all are present, the next heartbeat response to each machine tells it to start its
 * waiting tasks.
 */
export class GangRendezvous {
  /** By gang attempt, "JOB ATTEMPT": the machine of each present task, by task index. */
  private readonly present = new Map<string, Map<number, string>>();

  /** `pendingTasks` returns how many tasks an unfinished gang still has to run; null for any other job. */
  constructor(private readonly pendingTasks: (job: string) => number | null) {}

  /** Updates the state from a heartbeat; returns the gang attempts, "JOB ATTEMPT", that may now start on its machine. */
  observe(heartbeat: Heartbeat): string[] {
    const complete = new Set<string>();
    for (const task of heartbeat.tasks) {
      const pending = this.pendingTasks(task.job);
      const key = gangKey(task);
      if (pending === null) {
        this.present.delete(key);
        continue;
      }
      if (!isPresent(task)) {
        this.present.get(key)?.delete(task.index);
        continue;
      }
      let gang = this.present.get(key);
      if (!gang) this.present.set(key, (gang = new Map<number, string>()));
      gang.set(task.index, heartbeat.host);
      if (task.phase === 'waiting' && gang.size >= pending) complete.add(key);
    }
    this.removeUnlisted(heartbeat);
    return [...complete];
  }

  /** Removes tasks that a machine had reported earlier but does not list in this heartbeat. */
  private removeUnlisted(heartbeat: Heartbeat): void {
    const listed = new Set(heartbeat.tasks.map((task) => `${gangKey(task)} ${task.index}`));
    for (const [key, gang] of this.present) {
      for (const [index, host] of gang)
        if (host === heartbeat.host && !listed.has(`${key} ${index}`)) gang.delete(index);
      if (gang.size === 0) this.present.delete(key);
    }
  }
}

const gangKey = (task: TaskStatus): string => `${task.job} ${task.attempt}`;
const isPresent = (task: TaskStatus): boolean => task.phase === 'waiting' || task.phase === 'running';
