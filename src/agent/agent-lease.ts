/** The agent's lease on disk, and the watchdog process that enforces it even if the agent is not running. */
import { spawn } from 'node:child_process';
import { existsSync, readFileSync, renameSync, writeFileSync } from 'node:fs';
import { uptime } from 'node:os';
import { join } from 'node:path';
import { findProcessesByMark, markVariable, sendSignal } from './processes.js';

/**
 * Checks once per second whether the agent's lease has expired, even after the agent process has exited. If it has, the
 * script kills the process groups of all tasks, and then every process with the agent's mark; it repeats the latter to catch
 * processes that are just being started. Arguments: the agent's directory and ID. The script uses `kill -s KILL` because
 * dash rejects `kill -KILL -- -PID`.
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
 * The agent's lease, stored as the machine uptime until which tasks may run. The control service places the tasks elsewhere
 * some time after that, so they must have ended by then, whether or not the agent process is still running.
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

  /**
   * Returns when the lease on disk was last renewed, on the monotonic clock of `now`, ms. Without a lease on disk this is `now`;
   * for a lease of an earlier boot, -Infinity.
   */
  readLeaseStart(leaseMs: number, now: number): number {
    if (!existsSync(this.path)) return now;
    const [validUntilS, boot] = readFileSync(this.path, 'latin1').trim().split(' ');
    if (boot !== this.boot) return -Infinity;
    return now - (uptime() - Number(validUntilS)) * 1000 - leaseMs;
  }

  /** Writes a renewed lease to disk. */
  renew(remainingMs: number): void {
    const temporaryPath = `${this.path}.part`;
    writeFileSync(temporaryPath, `${Math.floor(uptime() + remainingMs / 1000)} ${this.boot}\n`);
    renameSync(temporaryPath, this.path);
  }

  /** Starts the watchdog unless it is running, and replaces a watchdog of an earlier epoch or agent process. */
  startWatchdog(): void {
    if (this.watchdogRunning) return;
    // The earlier watchdog is killed last, so that the commands are not left without one if the agent exits in between.
    const earlier = this.findWatchdogs();
    this.watchdogRunning = true;
    const child = spawn('/bin/sh', ['-c', watchdogScript, 'dapplepick', this.directory, this.agentId], {
      detached: true,
      stdio: 'ignore',
      env: { PATH: process.env['PATH'] ?? '/usr/bin:/bin', [markVariable]: this.watchdogMark },
    });
    child.on('error', () => undefined);
    child.unref();
    for (const pid of earlier) sendSignal(pid, 'SIGKILL');
  }

  private get watchdogMark(): string {
    return `watchdog:${this.directory}`;
  }

  /** Records that the lease has expired, so the watchdog has exited or is about to. */
  markExpired(): void {
    this.watchdogRunning = false;
  }

  /** Kills the watchdog, also one of an earlier agent process. It is not needed while no command is running. */
  stopWatchdog(): void {
    this.watchdogRunning = false;
    for (const pid of this.findWatchdogs()) sendSignal(pid, 'SIGKILL');
  }

  /** Returns the processes of all watchdogs of this agent's directory. */
  private findWatchdogs(): number[] {
    const mark = this.watchdogMark;
    return findProcessesByMark(mark)
      .filter((process) => process.mark === mark)
      .map(({ pid }) => pid);
  }
}
