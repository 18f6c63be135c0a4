/** The child's side of a process of the scale run: messages from its parent, its own event-loop delay. */
import { monitorEventLoopDelay } from 'node:perf_hooks';
import type { GeneratorLag } from './messages.js';

const nanosecondsPerMs = 1e6;
const resolutionMs = 10;

/** Passes each message of the parent to `receive`; ends the process when the parent is gone. */
export function listenToParent<In>(receive: (message: In) => void): void {
  process.on('message', (message) => receive(message as In));
  process.on('disconnect', () => process.exit(0));
}

/** Sends a message to the process that started this one. */
export function sendToParent<Out extends object>(message: Out): void {
  if (process.connected) process.send!(message);
}

/** Measures how late this process's timers fire; each reading begins a new measurement. */
export function lagMeter(): () => GeneratorLag {
  const delay = monitorEventLoopDelay({ resolution: resolutionMs });
  delay.enable();
  return () => {
    const lag = {
      p99Ms: Math.max(0, delay.percentile(99) / nanosecondsPerMs - resolutionMs),
      maxMs: Math.max(0, delay.max / nanosecondsPerMs - resolutionMs),
    };
    delay.reset();
    return lag;
  };
}
