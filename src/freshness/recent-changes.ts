import type { Change } from '../wire/store.js';

/**
 * The newest changes that others must not miss: cancellations, ends of jobs, grants, leadership. Complete for every
 * revision above `floor`: whatever of that kind this process has learned, and so may have told or acted on, is here.
 */
export class Recent {
  private kept: Change[] = [];
  private floor = Infinity;

  constructor(private readonly most: number) {}

  note(change: Change): void {
    this.kept.push(change);
    if (this.kept.length <= this.most) return;
    const gone = this.kept.splice(0, this.kept.length - Math.ceil(this.most / 2));
    // Own writes are noted ahead of older ones of others: the newest that left decides.
    for (const c of gone) this.floor = Math.max(this.floor, c.stamp);
  }

  /** Everything up to this revision was read at once, not noted. */
  readUpTo(epoch: number): void {
    this.floor = Number.isFinite(this.floor) ? Math.max(this.floor, epoch) : epoch;
  }

  /** All that is known above a revision; null: that cannot be told. */
  since(epoch: number): Change[] | null {
    return epoch < this.floor ? null : this.kept.filter((c) => c.stamp > epoch);
  }
}
