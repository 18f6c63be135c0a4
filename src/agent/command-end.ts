/** Determines how a command ended from what its shim recorded, and from why the agent was stopping it. */
import type { ResultReason, TaskResult } from '../wire/agent.js';

/** How a command ended, without the start and end times. */
export type CommandEnd = Pick<TaskResult, 'exit' | 'signal' | 'reason'>;

/** A shell reports a command that was ended by a signal with this exit code plus the signal's number. */
const shellSignalBase = 128;
const maxSignal = 64;

const signalNames: Record<number, string> = {
  1: 'SIGHUP',
  2: 'SIGINT',
  3: 'SIGQUIT',
  4: 'SIGILL',
  6: 'SIGABRT',
  8: 'SIGFPE',
  9: 'SIGKILL',
  11: 'SIGSEGV',
  13: 'SIGPIPE',
  14: 'SIGALRM',
  15: 'SIGTERM',
};
const signalName = (number: number): string => signalNames[number] ?? `signal ${number}`;

/**
 * Returns how a command ended. Only the exit code that the shim recorded proves that the command ended by itself; the exit
 * status of the shim proves nothing, because the shim may exit without having run the command. `signal` is the signal that
 * ended the shim, if known.
 */
export function commandEnd(
  recordedExit: number | null,
  terminationReason: ResultReason | null,
  signal: string | null,
): CommandEnd {
  const reason = terminationReason ?? (recordedExit === null ? 'lost' : 'exited');
  if (recordedExit === null)
    return { exit: null, signal: signal ?? (terminationReason ? 'SIGKILL' : null), reason };
  if (recordedExit > shellSignalBase && recordedExit <= shellSignalBase + maxSignal)
    return { exit: null, signal: signalName(recordedExit - shellSignalBase), reason };
  return { exit: recordedExit, signal: null, reason };
}
