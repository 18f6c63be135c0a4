/**
 * Soak test: `npm run soak -- MINUTES SEED` repeats the tests that kill processes, with a new seed each time, until the time is over
 * or a run fails. Not part of the test suite.
 */
import { spawnSync } from 'node:child_process';
import { fileURLToPath } from 'node:url';

const minutes = Number(process.argv[2] ?? 10);
const firstSeed = Number(process.argv[3] ?? Date.now() % 100_000);
const tests = ['control', 'outage'].map((n) => fileURLToPath(new URL(`./${n}.test.js`, import.meta.url)));
const until = Date.now() + minutes * 60_000;
for (let seed = firstSeed; Date.now() < until; seed++) {
  const result = spawnSync(
    process.execPath,
    ['--test', '--test-name-pattern', 'killed at random|killed in turn', ...tests],
    {
      env: { ...process.env, SOAK_SEED: String(seed) },
      encoding: 'utf8',
    },
  );
  process.stdout.write(`seed ${seed}: ${result.status === 0 ? 'passed' : 'FAILED'}\n`);
  if (result.status !== 0) {
    process.stdout.write(result.stdout);
    process.exit(1);
  }
}
