import type { Heartbeat, TaskStatus } from '../model/heartbeat.js';

/**
 * Where tasks of a gang find each other: once every one of an attempt is waiting (or runs already, of one that was
 * completed before this process began), all are told to go.
 */
export class Gangs {
  /** By job and attempt: its tasks that are there, and on which machine. */
  private readonly there = new Map<string, Map<number, string>>();

  /** `tasksOf`: how many tasks a job has if it is a gang that is not over, else null. */
  constructor(private readonly tasksOf: (job: string) => number | null) {}

  /** Takes a report in; returns the gangs, as "JOB ATTEMPT", that tasks of this machine may go with now. */
  seen(report: Heartbeat): string[] {
    const go = new Set<string>();
    for (const t of report.tasks) {
      const tasks = this.tasksOf(t.job);
      const name = `${t.job} ${t.attempt}`;
      if (tasks === null) {
        this.there.delete(name);
        continue;
      }
      if (!isThere(t)) {
        this.there.get(name)?.delete(t.index);
        continue;
      }
      let gang = this.there.get(name);
      if (!gang) this.there.set(name, (gang = new Map()));
      gang.set(t.index, report.host);
      if (t.phase === 'waiting' && gang.size >= tasks) go.add(name);
    }
    this.leftOut(report);
    return [...go];
  }

  /** What a machine held and does not list any more is not there. */
  private leftOut(report: Heartbeat): void {
    const listed = new Set(report.tasks.map((t) => `${t.job} ${t.attempt} ${t.index}`));
    for (const [name, gang] of this.there) {
      for (const [index, host] of gang)
        if (host === report.host && !listed.has(`${name} ${index}`)) gang.delete(index);
      if (gang.size === 0) this.there.delete(name);
    }
  }
}

const isThere = (t: TaskStatus): boolean => t.phase === 'waiting' || t.phase === 'running';
