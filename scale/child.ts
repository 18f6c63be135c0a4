/** Helpers for the child processes of a scale run: messages to and from the parent, and event-loop delay. */
import { monitorEventLoopDelay } from 'node:perf_hooks';
import type { GeneratorLag } from './messages.js';

const nanosecondsPerMs = 1e6;
const resolutionMs = 10;

/** Passes each message from the parent to `receive`; exits when the parent has disconnected. */
export function listenToParent<In>(receive: (message: In) => void): void {
  process.on('message', (message) => receive(message as In));
  process.on('disconnect', () => process.exit(0));
}

/** Sends a message to the parent process, unless it has disconnected. */
export function sendToParent<Out extends object>(message: Out): void {
  if (process.connected) process.send!(message);
}

/** Measures the event-loop delay of this process. Each call of the returned function reads and resets the measurement. */
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
