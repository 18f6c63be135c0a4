import { spawn } from 'node:child_process';
import { existsSync, readFileSync, renameSync, writeFileSync } from 'node:fs';
import { uptime } from 'node:os';
import { join } from 'node:path';
import { marked, markName, signal } from './processes.js';

/**
 * (`kill -KILL -- -PID` is an error to dash: -s it must be, or tasks of an agent that is gone outlive their lease.)
 *
 * Looks once a second whether the agent's lease still holds, also when the agent is gone; ends all of its tasks' groups when
 * it does not. Arguments: the agent's directory. It ends by itself once nothing runs any more that it would have to end.
 */
const watchdog = `
cd "$1" || exit 0
while sleep 1; do
  read until boot < lease || exit 0
  [ "$boot" = "$(cat /proc/sys/kernel/random/boot_id)" ] || exit 0
  read up rest < /proc/uptime
  if [ "\${up%.*}" -gt "$until" ]; then
    for f in tasks/*/pid; do [ -f "$f" ] && kill -s KILL -- "-$(cat "$f")" 2>/dev/null; done
    exit 0
  fi
done
`;

/**
 * The lease on disk: until which uptime of the machine the tasks may run. The control service hands them to others some time
 * after that, so they must be over by then, whether or not this process lives to see it.
 */
export class Lease {
  private readonly path: string;
  private watched = false;

  constructor(
    private readonly dir: string,
    private readonly boot: string,
  ) {
    this.path = join(dir, 'lease');
  }

  /** When the last answered report was sent, on this process's clock, by what is on disk. */
  leasedFrom(leaseMs: number): number {
    const now = performance.now();
    if (!existsSync(this.path)) return now;
    const [until, boot] = readFileSync(this.path, 'latin1').trim().split(' ');
    if (boot !== this.boot) return -Infinity;
    return now - (uptime() - Number(until)) * 1000 - leaseMs;
  }

  renewed(leasedFrom: number, leaseMs: number): void {
    const leftS = (leasedFrom + leaseMs - performance.now()) / 1000;
    const part = `${this.path}.part`;
    writeFileSync(part, `${Math.floor(uptime() + leftS)} ${this.boot}\n`);
    renameSync(part, this.path);
  }

  /** Starts the watchdog, in the place of the one of an earlier process. */
  watch(): void {
    if (this.watched) return;
    this.watched = true;
    const mark = `watchdog:${this.dir}`;
    for (const { pid } of marked(mark)) signal(pid, 'SIGKILL');
    const child = spawn('/bin/sh', ['-c', watchdog, 'dapplepick', this.dir], {
      detached: true,
      stdio: 'ignore',
      env: { PATH: process.env['PATH'] ?? '/usr/bin:/bin', [markName]: mark },
    });
    child.on('error', () => undefined);
    child.unref();
  }
}
