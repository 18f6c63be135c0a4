/** Waits for a job and shows its progress. */
import { jobPath } from '../wire/user.js';
import type { ApiClient, JobSummary } from './api-client.js';
import { exitCodes } from './exit.js';

const pollIntervalMs = 500;

/**
 * Waits until a job has ended. Progress goes to standard error: a bar on a terminal, otherwise a line for each change. A
 * timeout ends the program.
 */
export async function followJob(client: ApiClient, id: string, timeoutS: number | null): Promise<JobSummary> {
  const { SingleBar, Presets } = (await import('cli-progress')).default;
  const bar = process.stderr.isTTY
    ? new SingleBar(
        { format: '{bar} {value}/{total} done, {running} running, {failed} failed' },
        Presets.shades_classic,
      )
    : null;
  const deadline = timeoutS === null ? Infinity : Date.now() + timeoutS * 1000;
  let lastLine = '';
  let started = false;
  for (;;) {
    const response = await client.request('GET', `${jobPath}/${id}/tasks`, null);
    if (response.status === 200) {
      const job = response.body as JobSummary;
      const { pieces = 0, done = 0, running = 0, failed = 0 } = job;
      if (bar && !started) bar.start(pieces, 0, { running, failed });
      started = true;
      bar?.update(done, { running, failed });
      const line = `${id}: ${job.status}, ${done} of ${pieces} done, ${running} running, ${failed} failed`;
      if (!bar && line !== lastLine) process.stderr.write(`${line}\n`);
      lastLine = line;
      if (job.status === 'done' || job.status === 'aborted') {
        bar?.stop();
        return job;
      }
    }
    if (Date.now() > deadline) {
      bar?.stop();
      process.stderr.write(`dapplepick: ${id}: not finished after ${timeoutS} s\n`);
      process.exit(exitCodes.timedOut);
    }
    await new Promise((resolve) => setTimeout(resolve, pollIntervalMs));
  }
}
