/** Exit codes of the command line, and exiting with an error. */

/** A function that ends the program with a message and exit code 1. */
export type Fail = (message: string) => never;

/** Exit codes other than 0 and 1. Scripts rely on them. */
export const exitCodes = {
  /** The service refused the request. */
  refused: 2,
  /** The awaited job failed or was cancelled. */
  failed: 3,
  /** The awaited state was not reached in time. */
  timedOut: 4,
} as const;

/** Ends the program with a message and exit code 1. */
export function exitWithError(message: string): never {
  process.stderr.write(`dapplepick: ${message}\n`);
  process.exit(1);
}
