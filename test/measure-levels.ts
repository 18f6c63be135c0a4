/**
 * Measures feature levels, rolling restarts and the migration from the old record format in the simulated cluster:
 * `npm run measure -- levels`. All figures are in simulated time.
 */
import type { Transaction } from '../src/wire/store.js';
import { leaderOf, levelOf, ownerOf, restart } from './support/rolling-upgrade.js';
import { worldWithRecords, recordsOf100000Tasks, addWorkersFor } from './support/stored-state.js';
import { Traffic } from './support/traffic.js';
import { type Node } from './support/controller-node.js';
import { spec } from './support/fixtures.js';
import { World } from './support/world.js';

type PrintLine = (text: string) => void;
const quantile = (list: number[], q: number): string =>
  (list.sort((a, b) => a - b)[Math.floor(list.length * q)] ?? NaN).toFixed(0);

function startWorld(maxLevel: number, machines = 40): World {
  // Idle machines are kept, so that the figures do not include machine boot times.
  const w = new World(3, { 'level-most': maxLevel, 'idle-boots': 1000 });
  w.state.writesPerS = 40;
  w.capacity = machines;
  w.advance(6);
  w.nodes[0].submit(spec('req-999999', { tasks: machines * 8, team: 'blue' }));
  w.advanceUntil(() => w.finishedTasks.length === machines * 8, 240);
  w.advance(5);
  return w;
}

const writesOf = (w: World, matches: (txn: Transaction) => boolean = () => true): number =>
  w.commits.reduce((n, c) => (c.outcome.type === 'ok' && matches(c.txn) ? n + c.txn.writes.length : n), 0);

/** Submits one-task jobs at a constant rate: the share accepted within 1 s, the time until done, and the writes per job. */
function measureRate(maxLevel: number, perS: number): string {
  const w = startWorld(maxLevel);
  for (const x of w.workers.values()) x.taskDurationS = 8;
  const before = writesOf(w);
  const acceptedAfterMs: number[] = [];
  const pending = new Map<number, { at: number; n: Node }>();
  let sent = 0;
  const end = w.now + 60_000;
  const from = w.now;
  let rejected = 0;
  const submitted = new Map<string, number>();
  const doneAt = new Map<string, number>();
  const recordFinished = (): void => {
    for (const id of submitted.keys()) {
      if (doneAt.has(id)) continue;
      if ((w.state.entries.get(`dp/j/${id}`)?.data as { s?: string } | undefined)?.s === 'done')
        doneAt.set(id, w.now);
    }
  };
  while (w.now < end || pending.size > 0) {
    recordFinished();
    if (w.now < end && sent < ((w.now - from) / 1000) * perS) {
      const n = w.nodes[sent % 3];
      const id = `req-${++sent}`;
      n.push({ type: 'submit', requestId: sent, spec: spec(id, { tasks: 1, team: 'blue', cpus: 0.5 }) });
      pending.set(sent, { at: w.now, n });
      submitted.set(id, w.now);
    }
    w.advance(0.01);
    for (const [requestId, o] of pending) {
      const a = o.n.responses.get(requestId);
      if (!a && w.now - o.at < 10_000) continue;
      pending.delete(requestId);
      if (a?.status === 201) acceptedAfterMs.push(w.now - o.at);
      else rejected++;
    }
  }
  for (let i = 0; i < 600; i++) {
    recordFinished();
    w.advance(0.1);
  }
  const perJob = (writesOf(w) - before) / Math.max(1, doneAt.size);
  const completionS = [...doneAt].map(([id, at]) => (at - submitted.get(id)!) / 1000);
  const acceptedWithinOneSecond = acceptedAfterMs.filter((t) => t <= 1000).length;
  return (
    `level ${levelOf(w).level}, ${perS} jobs per second: ${((100 * acceptedWithinOneSecond) / sent).toFixed(0)}% accepted within 1 s, ${rejected} rejected or unanswered; ` +
    `done after p50 ${quantile(completionS, 0.5)} s, p95 ${quantile(completionS, 0.95)} s (tasks run 8 s), ${doneAt.size} of ${sent}; ` +
    `${perJob.toFixed(2)} writes per job, ${w.state.rateLimitedCount} commits rejected by the rate limit`
  );
}

/** Replaces one controller under load: the longest time without a task start, and the number of failed requests. */
function measureReplacement(
  role: 'owner' | 'leader' | 'neither',
  graceful: boolean,
  machines: number,
): string {
  const w = startWorld(0, machines);
  const users = new Traffic(w, 100, () => ({ cpus: 0.5 }), 1e9);
  for (const x of w.workers.values()) x.taskDurationS = 10;
  w.advance(20);
  const owner = ownerOf(w)!;
  const leader = leaderOf(w)!;
  const n =
    role === 'owner' ? owner : role === 'leader' ? leader : w.nodes.find((x) => x !== owner && x !== leader)!;
  const failed = users.failed;
  const starts = w.starts.length;
  const at = w.now;
  if (graceful) {
    n.push({ type: 'shut-down' });
    w.advanceUntil(() => n.controller.shutdownPhase === 'stopped', 20);
  }
  const shutdownMs = w.now - at;
  restart(w, n, () => undefined, 4);
  w.advance(25);
  const times = [at, ...w.starts.slice(starts).map((s) => s.at)];
  const gap = Math.max(...times.slice(1).map((t, i) => t - times[i]));
  return (
    `${role}${owner === leader ? ' (owner and leader are the same)' : ''}, ${graceful ? `graceful (stopped after ${shutdownMs} ms)` : 'killed'}: ` +
    `at most ${gap} ms without a task start, ${users.failed - failed} requests failed, ${w.violations.length} rule violations`
  );
}

/** Latency of submissions while 100,000 tasks in the old record format are being rewritten, and afterwards. */
function measureMigration(): string {
  const { keys, placed } = recordsOf100000Tasks();
  const w = worldWithRecords(keys);
  w.state.writesPerS = 40;
  w.capacity = 2;
  addWorkersFor(w, placed);
  for (const [id] of placed) w.serviceJobs.add(id);
  w.advanceUntil(() => levelOf(w).level >= 2, 30);
  const recordsLeft = () => [...w.state.entries.keys()].filter((k) => k.startsWith('dp/t/req-1')).length;
  const waits: number[][] = [];
  const began = w.now;
  let migrationS = 0;
  for (const phase of ['while', 'after']) {
    const users = new Traffic(w, 200, () => ({ cpus: 0.01 }), 1e9, phase === 'while' ? 20_000 : 40_000);
    const from = w.now;
    w.advanceUntil(() => (phase === 'while' ? recordsLeft() === 0 : w.now - from > 60_000), 600);
    if (phase === 'while') migrationS = (w.now - began) / 1000;
    users.stopSubmitting();
    w.advance(10);
    waits.push(users.acceptanceDelaysMs);
  }
  const quantilesText = (list: number[]) =>
    `p50 ${quantile(list, 0.5)}, p95 ${quantile(list, 0.95)}, max ${quantile(list, 1 - 1e-9)} ms`;
  return `400 of 1,368 jobs rewritten in ${migrationS.toFixed(0)} s, ${(800 / migrationS).toFixed(1)} writes per second; submissions accepted during the migration: ${quantilesText(waits[0])}; afterwards: ${quantilesText(waits[1])}`;
}

/** Prints the measurements of submission rates, migration and controller replacement. */
export function measureLevels(printLine: PrintLine): void {
  printLine('One-task jobs for 60 s to three controllers, 40 writes per second (simulated):');
  for (const perS of [8, 10, 11, 12, 13, 14, 16])
    for (const maxLevel of [1, 0]) printLine(`  ${measureRate(maxLevel, perS)}`);
  printLine('100,000 tasks in the old format (simulated):');
  printLine(`  ${measureMigration()}`);
  for (const machines of [40, 900]) {
    printLine(
      `Replacement of a controller, ${machines} machines, 10 jobs per second, restarted after 4 s (simulated):`,
    );
    for (const role of ['owner', 'neither'] as const)
      for (const graceful of [true, false]) printLine(`  ${measureReplacement(role, graceful, machines)}`);
  }
}
