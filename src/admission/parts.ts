import { maxMin } from './maxmin.js';

/** What a controller wants of the state service's writes, a second. */
export interface Wants {
  /** For what was accepted already, and for the fleet. */
  tasks: number;
  /** For jobs that users bring. */
  users: number;
}

/** Of the writes, so many are planned; the rest is slack for clocks and for what nobody foresaw. */
const planned = 0.94;
/** What was accepted goes first; a job of one task takes one write to be accepted and two afterwards. */
const tasksMost = 0.7;
/** Of an equal share: what each gets in any case. */
const floorShare = 0.25;

export interface Parts {
  /** All writes that it may make, and those of them for jobs that users bring. */
  total: number;
  users: number;
}

/**
 * What each controller may write, worked out by every one of them from the same figures: what was accepted goes first, what is
 * left is divided among those to whom users come; what nobody wants is shared out, for what comes next.
 */
export function partsOf(writesPerS: number, wants: readonly Wants[]): Parts[] {
  const n = wants.length;
  const whole = writesPerS * planned;
  const floor = (whole / n) * floorShare;
  const tasks = maxMin(
    whole * tasksMost,
    wants.map((w) => ({ want: w.tasks, weight: 1, floor })),
  );
  const rest = whole - tasks.reduce((a, b) => a + b, 0);
  const users = maxMin(
    rest,
    wants.map((w) => ({ want: w.users, weight: 1, floor })),
  );
  const idle = Math.max(0, rest - users.reduce((a, b) => a + b, 0)) / n;
  return wants.map((_, i) => ({ total: tasks[i] + users[i] + idle, users: users[i] + idle }));
}

/** Knowing nothing of the others: an equal share, half of it for jobs that users bring. */
export const alonePart = (writesPerS: number, n: number): Parts => ({
  total: (writesPerS * planned) / n,
  users: (writesPerS * planned) / n / 2,
});
