/** Helpers of the long-running programs: reading files, reporting known errors, handling signals. */
import { readFileSync } from 'node:fs';
import { SettingsError } from '../config/settings.js';
import type { Fail } from './exit.js';

/** Reads a text file named on the command line; ends the program if it cannot be read. */
export function readFile(path: string, fail: Fail): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    fail(`${path}: cannot be read: ${(error as NodeJS.ErrnoException).code ?? String(error)}`);
  }
}

/** Runs a program. Errors in its settings, addresses or directories end it with one line and without a stack trace. */
export async function exitOnKnownErrors(fail: Fail, run: () => Promise<void>): Promise<void> {
  try {
    await run();
  } catch (error) {
    const { StoreError } = await import('../store/errors.js');
    const code = (error as NodeJS.ErrnoException).code;
    if (error instanceof SettingsError || error instanceof StoreError) fail(error.message);
    if (code === 'EADDRINUSE' || code === 'EACCES' || code === 'EADDRNOTAVAIL')
      fail(String((error as Error).message));
    throw error;
  }
}

/** Calls `end` on the first SIGINT and on the first SIGTERM. */
export const onTerminationSignal = (end: () => void): void => {
  for (const name of ['SIGINT', 'SIGTERM'] as const) process.once(name, end);
};
