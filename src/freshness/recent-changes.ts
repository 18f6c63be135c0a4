import type { Change } from '../wire/store.js';

/**
 * The newest changes that others must not miss: cancellations, ends of jobs, grants, leadership. Complete for every
 * revision above `floor`: whatever of that kind this process has learned, and so may have told or acted on, is here.
 */
export class RecentChanges {
  private changes: Change[] = [];
  private completeAbove = Infinity;

  constructor(private readonly maxChanges: number) {}

  record(change: Change): void {
    this.changes.push(change);
    if (this.changes.length <= this.maxChanges) return;
    const gone = this.changes.splice(0, this.changes.length - Math.ceil(this.maxChanges / 2));
    // Own writes are noted ahead of older ones of others: the newest that left decides.
    for (const c of gone) this.completeAbove = Math.max(this.completeAbove, c.stamp);
  }

  /** Everything up to this revision was read at once, not noted. */
  markCompleteUpTo(epoch: number): void {
    this.completeAbove = Number.isFinite(this.completeAbove) ? Math.max(this.completeAbove, epoch) : epoch;
  }

  /** All that is known above a revision; null: that cannot be told. */
  since(epoch: number): Change[] | null {
    return epoch < this.completeAbove ? null : this.changes.filter((c) => c.stamp > epoch);
  }
}
