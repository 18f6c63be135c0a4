/** Measures how long jobs wait although a suitable machine has room and their team is below its limit. */
import type { JobSpec } from '../../src/model/job.js';
import type { Traffic } from './traffic.js';
import type { Worker } from './scripted-worker.js';
import type { World } from './world.js';

/** The longest time that a job may wait after all failures have ended while a suitable machine has room for it. */
export const maxWaitMs = 90_000;

/** Records a violation if a job waits too long while a suitable machine has room and its team is below its limit. */
export class WaitMonitor {
  /** Since when each job could have been started but was not, ms. */
  private readonly waitingSince = new Map<string, number>();
  /** The longest wait so far, ms. */
  longestMs = 0;
  private active = true;

  constructor(
    private readonly w: World,
    private readonly users: Traffic,
  ) {
    const tick = (): void => {
      if (!this.active) return;
      this.check();
      w.schedule(1000, tick);
    };
    tick();
  }

  /** Ends the measurement. */
  stop(): void {
    this.active = false;
  }

  private check(): void {
    const { w } = this;
    for (const id of this.users.unfinishedJobs) {
      const spec = w.jobSpecs.get(id)!;
      if (!this.couldStart(spec)) this.waitingSince.delete(id);
      else if (!this.waitingSince.has(id)) this.waitingSince.set(id, w.now);
      const waitMs = w.now - (this.waitingSince.get(id) ?? w.now);
      if (waitMs > maxWaitMs && this.longestMs <= maxWaitMs)
        w.violations.push(`waits ${id}: ${waitMs} ms although there is room`);
      this.longestMs = Math.max(this.longestMs, waitMs);
    }
    for (const id of this.waitingSince.keys())
      if (this.users.reportedStatus.get(id) !== 'accepted') this.waitingSince.delete(id);
  }

  /** Whether the job has a waiting task that could start now, or, for a gang, whether all of its tasks could start. */
  private couldStart(spec: JobSpec): boolean {
    const { w } = this;
    const runningTasks = w.running(spec.id).length;
    const finishedTasks = new Set(w.finishedTasks.filter((p) => p.startsWith(`${spec.id}/`))).size;
    const missingTasks = spec.tasks - runningTasks - finishedTasks;
    if (missingTasks <= 0) return false;
    // A gang with some tasks running is being torn down or repaired.
    if (spec.shape === 'gang' && runningTasks > 0) return false;
    const requiredTasks = spec.shape === 'gang' ? missingTasks : 1;
    const cpuLimit = w.nodes[0].settings.teams.find((t) => t.name === spec.team)?.cpus_max ?? 0;
    if (cpuLimit > 0 && this.usedCpus(spec.team) + requiredTasks * spec.cpus > cpuLimit) return false;
    const fittingWorkers = [...w.workers.values()].filter((m) => this.fits(spec, m));
    const freeSlots = (list: Worker[]): number =>
      list.reduce((n, m) => n + Math.floor(this.freeCpus(m) / spec.cpus + 1e-9), 0);
    if (!spec.oneZone) return freeSlots(fittingWorkers) >= requiredTasks;
    return w.types[0].zones.some(
      (z) => freeSlots(fittingWorkers.filter((m) => m.zone === z)) >= requiredTasks,
    );
  }

  private fits(spec: JobSpec, m: Worker): boolean {
    if (m.silent || m.hung || m.losesResponses || m.failsTasks || m.spotNoticeS !== null) return false;
    if (spec.zone !== null && spec.zone !== m.zone) return false;
    if (spec.types && !spec.types.includes(m.type)) return false;
    if (m.spot && (!spec.spot || spec.shape !== 'array')) return false;
    if (!spec.apart) return true;
    const tasksInZone = this.w
      .running(spec.id)
      .filter((r) => this.w.workers.get(r.host)!.zone === m.zone).length;
    return tasksInZone < Math.ceil(spec.tasks / 2);
  }

  private usedCpus(team: string): number {
    let cpus = 0;
    for (const m of this.w.workers.values())
      for (const [taskKey, t] of m.tasks) {
        const spec = this.w.jobSpecs.get(t.report.job);
        if (spec?.team === team && m.hasTask(taskKey)) cpus += spec.cpus;
      }
    return cpus;
  }

  private freeCpus(m: Worker): number {
    let cpus = this.w.types.find((t) => t.name === m.type)!.cpus;
    for (const [taskKey, t] of m.tasks)
      if (m.hasTask(taskKey)) cpus -= this.w.jobSpecs.get(t.report.job)?.cpus ?? 0;
    return cpus;
  }
}
