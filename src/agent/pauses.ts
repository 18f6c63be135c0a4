/** Pauses of the agent's loops, which end early when the agent is stopped or when there is something to report. */

/** The pauses of one agent. After `close` all timers are stopped, and pauses that are in progress never end. */
export class Pauses {
  private readonly timers = new Set<NodeJS.Timeout>();
  private wakeRequested = false;
  /** Ends the interruptible pause that is in progress. */
  private wake: () => void = () => undefined;

  /** Calls a function at intervals. */
  repeat(intervalMs: number, callback: () => void): void {
    this.timers.add(setInterval(callback, intervalMs));
  }

  /** Waits for the given time. */
  wait(ms: number): Promise<void> {
    return new Promise((resolve) => this.startTimer(ms, resolve));
  }

  /** Waits for the given time, or until the end of the pause is requested, whichever is first. */
  waitInterruptibly(ms: number): Promise<void> {
    if (this.wakeRequested || ms <= 0) return Promise.resolve();
    return new Promise<void>((resolve) => {
      const timer = this.startTimer(ms, () => this.wake());
      this.wake = () => {
        this.wake = () => undefined;
        clearTimeout(timer);
        this.timers.delete(timer);
        resolve();
      };
    });
  }

  /** Ends the interruptible pause that is in progress, or else the next one at once. */
  interrupt(): void {
    this.wakeRequested = true;
    this.wake();
  }

  /** Withdraws the request to end the next interruptible pause. */
  clearInterrupt(): void {
    this.wakeRequested = false;
  }

  /** Stops all timers. */
  close(): void {
    for (const timer of this.timers) clearTimeout(timer);
  }

  private startTimer(ms: number, callback: () => void): NodeJS.Timeout {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      callback();
    }, ms);
    this.timers.add(timer);
    return timer;
  }
}
