/** Measures admission under a flood of submissions in the simulated cluster: `npm run measure -- flood`. */
import {
  jainIndex,
  maxMinShares,
  nextAllocation,
  type MemberDemand,
  type WorkloadDemand,
  type MemberStatus,
} from '../src/admission/index.js';
import type { OperatorSettings } from '../src/config/operators.js';
import { Flood, floodStreams, startFloodWorld } from './support/flood.js';

const variants: [string, Partial<OperatorSettings>][] = [
  ['default settings', {}],
  ['fair admission by peer reports (level 2)', { 'fair-admission': 1, 'level-most': 2 }],
  ['fair admission by the admission plan (level 3)', { 'fair-admission': 1 }],
];

/** Max-min fair share of each stream, jobs per second: streams with a small demand get all of it, the flood gets the rest. */
const fairShares = (perS: number): number[] =>
  maxMinShares(
    perS,
    floodStreams.map((s) => ({ demand: s.jobsPerS, weight: 1, minimum: 0 })),
  );

/** Prints the admission of three streams under each variant, and the computing time of an allocation. */
export function measureFlood(printLine: (text: string) => void): void {
  for (const [name, operators] of variants) {
    const w = startFloodWorld(operators);
    const refused = w.state.rateLimitedCount;
    const commits = w.commits.length;
    const users = new Flood(w, floodStreams);
    w.advance(60);
    const accepted = users.jobs.filter((j) => j.acceptedAt > 0);
    const writeCount = w.commits
      .slice(commits)
      .filter((c) => c.outcome.type === 'ok')
      .reduce((n, c) => n + c.txn.writes.length, 0);
    // Accepted jobs of each stream, relative to its max-min fair share of all accepted jobs.
    const shares = floodStreams.map(
      (s, i) => accepted.filter((j) => j.stream === s).length / 60 / fairShares(accepted.length / 60)[i],
    );
    w.advance(70);
    printLine(`${name}: 40 jobs per second of one class for 60 s, 30 writes per second (simulated)`);
    for (const { name: streamName } of floodStreams) {
      const streamFigures = users.resultsOf(streamName);
      printLine(
        `  ${streamName.padEnd(6)} ${streamFigures.jobs} jobs: ${(100 * streamFigures.acceptedWithin1s).toFixed(0)}% accepted within 1 s, ${(100 * streamFigures.accepted).toFixed(0)}% in total (p95 ${streamFigures.p95WaitMs} ms), ${(100 * streamFigures.run).toFixed(0)}% completed`,
      );
    }
    const commitCount = w.commits.length - commits;
    const rejectedCommits = w.state.rateLimitedCount - refused;
    printLine(
      `  ${(accepted.length / 60).toFixed(1)} accepted and ${(writeCount / 60).toFixed(1)} written per second; ${rejectedCommits} of ${commitCount} commits rejected (${((100 * rejectedCommits) / commitCount).toFixed(1)}%)`,
    );
    printLine(
      `  Jain's index of the streams' accepted jobs relative to their fair shares: ${jainIndex(shares).toFixed(3)}`,
    );
    printLine(`  answers: ${[...users.answers].map(([s, n]) => `${s}: ${n}`).join(', ')}`);
  }
  for (const classes of [10, 1000, 10_000]) {
    const workloads = Array.from({ length: classes }, (_, i): WorkloadDemand => ({
      team: `t${i % 5}`,
      class: `c${i}`,
      weight: 1,
      jobsPerS: 1,
    }));
    const demand: MemberDemand = {
      acceptedWork: 20,
      newJobs: 20,
      backlogS: 1,
      allocationVersion: 1,
      workloads,
    };
    const members: MemberStatus[] = ['a', 'b', 'c'].map((name) => ({
      name,
      isPresent: true,
      hasFallenBack: false,
      demand,
    }));
    const from = performance.now();
    const times = classes > 1000 ? 3 : 100;
    for (let i = 0; i < times; i++) nextAllocation(null, 40, members, false, () => 1);
    printLine(
      `  allocation for ${classes} workloads at each of three controllers (at most 16 are included): ${((performance.now() - from) / times).toFixed(2)} ms`,
    );
  }
}
