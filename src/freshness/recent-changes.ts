/** Buffer of recent state changes for peers whose replica lags behind. */
import type { Change } from '../wire/store.js';

/**
 * The most recent changes that no peer may miss: cancellations, ends of jobs, shard grants and leadership. The buffer is
 * complete above the revision `completeAbove`: it holds every newer change of these kinds that this process knows, and so may
 * have acted on.
 */
export class RecentChanges {
  private changes: Change[] = [];
  private completeAbove = Infinity;

  constructor(private readonly maxChanges: number) {}

  /** Records a change. When the buffer is full, the half recorded first is dropped. */
  record(change: Change): void {
    this.changes.push(change);
    if (this.changes.length <= this.maxChanges) return;
    const dropped = this.changes.splice(0, this.changes.length - Math.ceil(this.maxChanges / 2));
    // This process's own writes may be recorded before older changes by others, so the newest dropped change counts.
    for (const c of dropped) this.completeAbove = Math.max(this.completeAbove, c.stamp);
  }

  /** Marks the state up to this revision as read in one snapshot, whose changes were not recorded one by one. */
  markCompleteUpTo(revision: number): void {
    const isComplete = Number.isFinite(this.completeAbove);
    this.completeAbove = isComplete ? Math.max(this.completeAbove, revision) : revision;
  }

  /** Returns all changes above a revision, or null if some of them may be missing. */
  since(revision: number): Change[] | null {
    return revision < this.completeAbove ? null : this.changes.filter((c) => c.stamp > revision);
  }
}
