/**
 * Measures the recovery after the state service has lost data, with 900 machines in the simulated cluster:
 * `npm run measure -- loss`. All figures are in simulated time.
 */
import { spec } from './support/fixtures.js';
import { World } from './support/world.js';

const losses: Record<string, (w: World) => void> = {
  wiped: (w) => w.state.loseData([], 1),
  'every second record lost': (w) =>
    w.state.loseData(
      [...w.state.entries].filter((_, i) => i % 2 === 0),
      w.state.revision,
    ),
};

/** Prints the times, writes and surviving tasks of a recovery from each kind of data loss. */
export function measureLoss(printLine: (text: string) => void): void {
  for (const [lossName, lose] of Object.entries(losses)) {
    const w = new World(3, { 'idle-boots': 1000 });
    w.types = [{ ...w.types[0], cpus: 16, memGb: 64 }];
    w.capacity = 900;
    w.leaseMs = 24_000;
    for (const n of w.nodes) {
      Object.assign(n.settings.workers, { lease_s: 24, report_s: 5, cancel_s: 49 });
      n.boot();
    }
    w.heartbeatMs = 5000;
    w.advance(8);
    let requestId = 0;
    // 700 short jobs that are finished when the data is lost, then 120 long-running ones.
    for (let i = 0; i < 700; i++)
      w.nodes[i % 3].push({
        type: 'submit',
        requestId: ++requestId,
        spec: spec(`req-${1000 + i}`, { team: 'blue', tasks: 1, cpus: 0.1 }),
      });
    for (let i = 0; i < 60; i++) {
      for (const x of w.workers.values()) x.taskDurationS = 2;
      w.advance(1);
    }
    w.state.writesPerS = 35;
    for (const n of w.nodes) n.settings.state.write_rps = 35;
    for (let i = 0; i < 120; i++)
      w.nodes[i % 3].push({
        type: 'submit',
        requestId: ++requestId,
        spec: spec(`req-${3000 + i}`, { team: 'blue', tasks: 100, cpus: 1, estimateS: 1000 }),
      });
    for (let i = 0; i < 90; i++) {
      for (const x of w.workers.values()) x.taskDurationS = 1000;
      w.advance(1);
    }
    const keys = w.state.entries.size;
    const running = () =>
      [...w.workers.values()].reduce(
        (n, x) => n + [...x.tasks.values()].filter((t) => t.report.phase === 'running').length,
        0,
      );
    const runningBefore = running();
    const knownJobs = () => w.nodes[0].controller.replica.jobs.size;
    const jobsBefore = knownJobs();
    const at = w.now;
    const commits = w.commits.length;
    lose(w);
    const waitForLogLine = (line: string): string => {
      w.advanceUntil(() => w.nodes.some((n) => n.logLines.some((l) => l[1] === line)), 150);
      return ((w.now - at) / 1000).toFixed(1);
    };
    const detected = waitForLogLine('state service has lost data');
    const resumed = waitForLogLine('work resumed');
    const runningAtResume = running();
    const recovered = waitForLogLine('data-loss recovery complete');
    const writes = w.commits
      .slice(commits)
      .reduce((n, c) => n + (c.outcome.type === 'ok' ? c.txn.writes.length : 0), 0);
    const startsBefore = w.starts.length;
    w.advanceUntil(() => w.starts.length > startsBefore, 60);
    printLine(
      `${lossName}: 900 machines, ${keys} keys, ${jobsBefore} jobs, ${runningBefore} tasks running, 35 writes per second (simulated)`,
    );
    printLine(
      `  detected after ${detected} s, work resumed after ${resumed} s, recovery complete after ${recovered} s, first start after ${((w.now - at) / 1000).toFixed(1)} s`,
    );
    printLine(
      `  ${writes} writes; ${knownJobs()} jobs known; ${runningAtResume} tasks running when work resumed, ${running()} now; ${w.violations.length} rule violations`,
    );
  }
}
