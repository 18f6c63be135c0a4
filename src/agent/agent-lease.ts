import { spawn } from 'node:child_process';
import { existsSync, readFileSync, renameSync, writeFileSync } from 'node:fs';
import { uptime } from 'node:os';
import { join } from 'node:path';
import { processesWithMark, markVariable, sendSignal } from './processes.js';

/**
 * (`kill -KILL -- -PID` is an error to dash: -s it must be, or tasks of an agent that is gone outlive their lease.)
 *
 * Looks once a second whether the agent's lease still holds, also when the agent is gone; when it does not, it ends all of
 * its tasks' groups, and then whatever carries the agent's mark: that has left its group. Several times, for what is being
 * started meanwhile. Arguments: the agent's directory and id.
 */
const watchdogScript = `
cd "$1" || exit 0
while sleep 1; do
  read until boot < lease || exit 0
  [ "$boot" = "$(cat /proc/sys/kernel/random/boot_id)" ] || exit 0
  read up rest < /proc/uptime
  if [ "\${up%.*}" -gt "$until" ]; then
    for f in tasks/*/pid; do [ -f "$f" ] && kill -s KILL -- "-$(cat "$f")" 2>/dev/null; done
    for round in 1 2 3; do
      for e in /proc/[0-9]*/environ; do
        tr '\\0' '\\n' < "$e" 2>/dev/null | grep -q "^${markVariable}=$2/" && p=\${e#/proc/} && kill -s KILL "\${p%/environ}" 2>/dev/null
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
export class AgentLease {
  private readonly path: string;
  private watchdogRunning = false;

  constructor(
    private readonly directory: string,
    private readonly boot: string,
    private readonly agentId: string,
  ) {
    this.path = join(directory, 'lease');
  }

  /** When the last answered report was sent, on this process's clock, by what is on disk. */
  startOnDisk(leaseMs: number): number {
    const now = performance.now();
    if (!existsSync(this.path)) return now;
    const [until, boot] = readFileSync(this.path, 'latin1').trim().split(' ');
    if (boot !== this.boot) return -Infinity;
    return now - (uptime() - Number(until)) * 1000 - leaseMs;
  }

  renew(leaseStart: number, leaseMs: number): void {
    const remainingS = (leaseStart + leaseMs - performance.now()) / 1000;
    const temporaryPath = `${this.path}.part`;
    writeFileSync(temporaryPath, `${Math.floor(uptime() + remainingS)} ${this.boot}\n`);
    renameSync(temporaryPath, this.path);
  }

  /** Starts the watchdog, in the place of the one of an earlier process. */
  startWatchdog(): void {
    if (this.watchdogRunning) return;
    this.stopWatchdog();
    this.watchdogRunning = true;
    const mark = this.watchdogMark;
    const child = spawn('/bin/sh', ['-c', watchdogScript, 'dapplepick', this.directory, this.agentId], {
      detached: true,
      stdio: 'ignore',
      env: { PATH: process.env['PATH'] ?? '/usr/bin:/bin', [markVariable]: mark },
    });
    child.on('error', () => undefined);
    child.unref();
  }

  private get watchdogMark(): string {
    return `watchdog:${this.directory}`;
  }

  /** It ran out: the watchdog has ended with it, or is about to. */
  markExpired(): void {
    this.watchdogRunning = false;
  }

  /** Nothing runs that would have to be ended. */
  stopWatchdog(): void {
    this.watchdogRunning = false;
    for (const { pid, mark } of processesWithMark(this.watchdogMark))
      if (mark === this.watchdogMark) sendSignal(pid, 'SIGKILL');
  }
}
