/** Measures the writes per task start, by the number of tasks per job, in the simulated cluster: `npm run measure -- writes`. */
import { parseKey } from '../src/core/storage/index.js';
import type { Write } from '../src/wire/store.js';
import { spec } from './support/fixtures.js';
import { World } from './support/world.js';

type PrintLine = (text: string) => void;

const minStarts = 1200;
const minJobs = 4;
const taskDurationS = 20;
const machines = 80;
const firstRequest = 500_000;
const kinds = ['accept', 'tasks', 'final', 'drop', 'other'] as const;
type WriteKind = (typeof kinds)[number];

function kindOf({ key, data }: Write): WriteKind {
  if (data === undefined) return /^dp\/(t|log)\//.test(key) ? 'drop' : 'other';
  const ref = parseKey(key);
  if (ref?.kind === 'log' || ref?.kind === 'chunk') return 'tasks';
  if (ref?.kind !== 'job') return 'other';
  if (data['s'] === 'done') return 'final';
  return data['t'] === undefined ? 'accept' : 'tasks';
}

/** The counts of one measurement. */
interface Cost {
  starts: number;
  writes: Record<WriteKind, number>;
  tookS: number;
  violations: number;
}

function costOf(tasksPerJob: number, operators: Record<string, number>): Cost {
  const w = new World(3, operators, 1);
  w.capacity = machines;
  w.taskDurationS = taskDurationS;
  w.advance(10);
  const jobs = Math.max(minJobs, Math.ceil(minStarts / tasksPerJob));
  const from = w.commits.length;
  const beganAt = w.now;
  for (let i = 0; i < jobs; i++) {
    const job = spec(`req-${i + 1}`, { tasks: tasksPerJob, team: 'blue', cpus: 0.2 });
    w.nodes[i % w.nodes.length].push({ type: 'submit', requestId: firstRequest + i, spec: job });
  }
  w.advanceUntil(() => w.finishedTasks.length >= jobs * tasksPerJob, 600);
  const tookS = (w.now - beganAt) / 1000;
  w.advance(10);
  const writes: Record<WriteKind, number> = { accept: 0, tasks: 0, final: 0, drop: 0, other: 0 };
  for (const { txn, outcome } of w.commits.slice(from))
    if (outcome.type === 'ok') for (const write of txn.writes) writes[kindOf(write)]++;
  return { starts: w.starts.length, writes, tookS, violations: w.violations.length };
}

/** Prints the writes per start, in total and by kind, for several job sizes with the task log off and on. */
export async function measureWrites(printLine: PrintLine): Promise<void> {
  printLine(
    'tasks per job, task log: writes per start in total (accept, tasks, final, drop, other), starts per second (simulated)',
  );
  for (const tasks of [1, 4, 8, 16, 40, 200, 600])
    for (const log of [0, 1]) {
      const cost = costOf(tasks, { 'task-log': log });
      const perStart = (n: number): string => (n / cost.starts).toFixed(4);
      const all = kinds.reduce((sum, kind) => sum + cost.writes[kind], 0);
      const parts = kinds.map((kind) => perStart(cost.writes[kind])).join(', ');
      const rate = (cost.starts / cost.tookS).toFixed(1);
      const violationText = cost.violations > 0 ? `  ${cost.violations} RULE VIOLATIONS` : '';
      printLine(`${tasks}, ${log ? 'on' : 'off'}: ${perStart(all)} (${parts}), ${rate}${violationText}`);
    }
}
