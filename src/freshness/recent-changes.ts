/** Recent changes of the state, kept for peers whose replica lags behind. */
import type { Change } from '../wire/store.js';

/**
 * The newest changes that peers must not miss: cancellations, ends of jobs, shard grants, leadership. Complete for every
 * revision above `completeAbove`: every change of that kind that this process has learned, and so may have acted on, is
 * here.
 */
export class RecentChanges {
  private changes: Change[] = [];
  private completeAbove = Infinity;

  constructor(private readonly maxChanges: number) {}

  /** Keeps a change. The older half is dropped when there are too many. */
  record(change: Change): void {
    this.changes.push(change);
    if (this.changes.length <= this.maxChanges) return;
    const dropped = this.changes.splice(0, this.changes.length - Math.ceil(this.maxChanges / 2));
    // Own writes are recorded ahead of older ones of others: the newest that was dropped decides.
    for (const c of dropped) this.completeAbove = Math.max(this.completeAbove, c.stamp);
  }

  /** Everything up to this revision was read at once, without being recorded. */
  markCompleteUpTo(revision: number): void {
    const isComplete = Number.isFinite(this.completeAbove);
    this.completeAbove = isComplete ? Math.max(this.completeAbove, revision) : revision;
  }

  /** All changes above a revision; null: some of them may have been dropped. */
  since(revision: number): Change[] | null {
    return revision < this.completeAbove ? null : this.changes.filter((c) => c.stamp > revision);
  }
}
