import type { Heartbeat, TaskStatus } from '../model/heartbeat.js';

/**
 * Where tasks of a gang find each other: once every one of an attempt is waiting (or runs already, of one that was
 * completed before this process began), all are told to go.
 */
export class GangRendezvous {
  /** By job and attempt: its tasks that are there, and on which machine. */
  private readonly present = new Map<string, Map<number, string>>();

  /** `pendingTasks`: how many tasks a job has if it is a gang that is not over, else null. */
  constructor(private readonly pendingTasks: (job: string) => number | null) {}

  /** Takes a report in; returns the gangs, as "JOB ATTEMPT", that tasks of this machine may go with now. */
  observe(report: Heartbeat): string[] {
    const complete = new Set<string>();
    for (const task of report.tasks) {
      const tasks = this.pendingTasks(task.job);
      const name = `${task.job} ${task.attempt}`;
      if (tasks === null) {
        this.present.delete(name);
        continue;
      }
      if (!isPresent(task)) {
        this.present.get(name)?.delete(task.index);
        continue;
      }
      let gang = this.present.get(name);
      if (!gang) this.present.set(name, (gang = new Map()));
      gang.set(task.index, report.host);
      if (task.phase === 'waiting' && gang.size >= tasks) complete.add(name);
    }
    this.removeUnlisted(report);
    return [...complete];
  }

  /** What a machine held and does not list any more is not there. */
  private removeUnlisted(report: Heartbeat): void {
    const listed = new Set(report.tasks.map((t) => `${t.job} ${t.attempt} ${t.index}`));
    for (const [name, gang] of this.present) {
      for (const [index, host] of gang)
        if (host === report.host && !listed.has(`${name} ${index}`)) gang.delete(index);
      if (gang.size === 0) this.present.delete(name);
    }
  }
}

const isPresent = (task: TaskStatus): boolean => task.phase === 'waiting' || task.phase === 'running';
