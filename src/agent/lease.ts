import { spawn } from 'node:child_process';
import { existsSync, readFileSync, renameSync, writeFileSync } from 'node:fs';
import { uptime } from 'node:os';
import { join } from 'node:path';
import { marked, markName, signal } from './processes.js';

/**
 * (`kill -KILL -- -PID` is an error to dash: -s it must be, or tasks of an agent that is gone outlive their lease.)
 *
 * Looks once a second whether the agent's lease still holds, also when the agent is gone; when it does not, it ends all of
 * its tasks' groups, and then whatever carries the agent's mark: that has left its group. Several times, for what is being
 * started meanwhile. Arguments: the agent's directory and id.
 */
const watchdog = `
cd "$1" || exit 0
while sleep 1; do
  read until boot < lease || exit 0
  [ "$boot" = "$(cat /proc/sys/kernel/random/boot_id)" ] || exit 0
  read up rest < /proc/uptime
  if [ "\${up%.*}" -gt "$until" ]; then
    for f in tasks/*/pid; do [ -f "$f" ] && kill -s KILL -- "-$(cat "$f")" 2>/dev/null; done
    for round in 1 2 3; do
      for e in /proc/[0-9]*/environ; do
        tr '\\0' '\\n' < "$e" 2>/dev/null | grep -q "^${markName}=$2/" && p=\${e#/proc/} && kill -s KILL "\${p%/environ}" 2>/dev/null
      done
    done
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
    private readonly agentId: string,
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
    this.unwatch();
    this.watched = true;
    const mark = this.mark;
    const child = spawn('/bin/sh', ['-c', watchdog, 'dapplepick', this.dir, this.agentId], {
      detached: true,
      stdio: 'ignore',
      env: { PATH: process.env['PATH'] ?? '/usr/bin:/bin', [markName]: mark },
    });
    child.on('error', () => undefined);
    child.unref();
  }

  private get mark(): string {
    return `watchdog:${this.dir}`;
  }

  /** It ran out: the watchdog has ended with it, or is about to. */
  lapsed(): void {
    this.watched = false;
  }

  /** Nothing runs that would have to be ended. */
  unwatch(): void {
    this.watched = false;
    for (const { pid, mark } of marked(this.mark)) if (mark === this.mark) signal(pid, 'SIGKILL');
  }
}
