import { maxMinShares } from './max-min-fairness.js';

/** What a controller wants of the state service's writes, a second. */
export interface WriteDemand {
  /** For what was accepted already, and for the fleet. */
  tasks: number;
  /** For jobs that users bring. */
  users: number;
  /** How long what waits to be written for accepted work will take, s. */
  behindS: number;
}

/** Of the writes, so many are planned; the rest is slack for clocks and for what nobody foresaw. */
export const allocatableShare = 0.94;
/**
 * What was accepted goes first up to this share: up to the first while nothing waits, up to the second once it is so far
 * behind. A job of one task takes one write to be accepted and two afterwards, so in a lasting flood the two find their
 * balance at two thirds; a passing crowd of users is taken in at once, and its tasks follow seconds later.
 */
const tasksLeast = 0.45;
const tasksMost = 0.7;
const behindMostS = 8;
export const burstFactor = 1.5;
/** Of an equal share: what each gets in any case. */
const floorShare = 0.25;

export interface WriteShare {
  /** All writes that it may make, and those of them for jobs that users bring. */
  total: number;
  users: number;
}

/**
 * What each controller may write, worked out by every one of them from the same figures: what was accepted goes first, what is
 * left is divided among those to whom users come; what nobody wants is shared out, for what comes next. `crowd`: how many
 * users' jobs each is to take in, where teams and classes decide that.
 */
export function divideWrites(
  writesPerS: number,
  wants: readonly WriteDemand[],
  crowd: readonly number[] | null = null,
): WriteShare[] {
  const n = wants.length;
  const whole = writesPerS * allocatableShare;
  const floor = (whole / n) * floorShare;
  const behind = Math.min(1, Math.max(0, ...wants.map((w) => w.behindS)) / behindMostS);
  const tasks = maxMinShares(
    whole * (tasksLeast + (tasksMost - tasksLeast) * behind),
    wants.map((w) => ({ want: w.tasks, weight: 1, floor })),
  );
  const rest = whole - tasks.reduce((a, b) => a + b, 0);
  const users = maxMinShares(
    rest,
    // Users come in bunches: more than they brought of late, and never nothing.
    wants.map((w, i) => ({
      want: Math.max(floor, crowd ? crowd[i] : w.users * burstFactor),
      weight: 1,
      floor,
    })),
  );
  // What users leave is for accepted work that wants more than came first; the rest is for whatever comes next.
  const left = Math.max(0, rest - users.reduce((a, b) => a + b, 0));
  const more = maxMinShares(
    left,
    wants.map((w, i) => ({ want: Math.max(0, w.tasks - tasks[i]), weight: 1, floor: 0 })),
  );
  const idle = Math.max(0, left - more.reduce((a, b) => a + b, 0)) / n;
  return wants.map((_, i) => ({ total: tasks[i] + more[i] + users[i] + idle, users: users[i] + idle }));
}

/** Knowing nothing of the others: an equal share, half of it for jobs that users bring. */
export const equalShare = (writesPerS: number, n: number): WriteShare => ({
  total: (writesPerS * allocatableShare) / n,
  users: (writesPerS * allocatableShare) / n / 2,
});
