/** The agent's lease on disk, and the watchdog that enforces it when the agent itself does not run. */
import { spawn } from 'node:child_process';
import { existsSync, readFileSync, renameSync, writeFileSync } from 'node:fs';
import { uptime } from 'node:os';
import { join } from 'node:path';
import { processesWithMark, markVariable, sendSignal } from './processes.js';

/**
 * Checks once a second whether the agent's lease has expired, also after the agent itself has ended. If it has, it kills the
 * process groups of all tasks, and then, several times for processes that are just being started, every process with the
 * agent's mark. Arguments: the agent's directory and ID. (dash rejects `kill -KILL -- -PID`, hence `-s KILL`.)
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
 * The lease as an uptime of the machine until which tasks may run. The control service places them elsewhere some time after
 * that, so they must have ended by then, whether or not this process still runs.
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

  /** When the lease on disk was last renewed, on this process's clock; -Infinity if that was in an earlier boot. */
  startOnDisk(leaseMs: number): number {
    const now = performance.now();
    if (!existsSync(this.path)) return now;
    const [until, boot] = readFileSync(this.path, 'latin1').trim().split(' ');
    if (boot !== this.boot) return -Infinity;
    return now - (uptime() - Number(until)) * 1000 - leaseMs;
  }

  /** Writes a renewed lease to disk. */
  renew(leaseStart: number, leaseMs: number): void {
    const remainingS = (leaseStart + leaseMs - performance.now()) / 1000;
    const temporaryPath = `${this.path}.part`;
    writeFileSync(temporaryPath, `${Math.floor(uptime() + remainingS)} ${this.boot}\n`);
    renameSync(temporaryPath, this.path);
  }

  /** Starts the watchdog unless it runs; it replaces the one of an earlier process. */
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

  /** Notes that the lease has expired: the watchdog has ended, or is about to. */
  markExpired(): void {
    this.watchdogRunning = false;
  }

  /** Ends the watchdog: no command runs that it would have to kill. */
  stopWatchdog(): void {
    this.watchdogRunning = false;
    for (const { pid, mark } of processesWithMark(this.watchdogMark))
      if (mark === this.watchdogMark) sendSignal(pid, 'SIGKILL');
  }
}
