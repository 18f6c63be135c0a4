/** How commands of the command line end in failure. */

/** Ends the program with a message and exit code 1. */
export type Fail = (message: string) => never;

/** Exit codes beside 0 and 1, on which scripts rely. */
export const exitCodes = {
  /** The service refused the request. */
  refused: 2,
  /** The job that was waited for failed or was cancelled. */
  failed: 3,
  /** The awaited state was not reached in time. */
  timedOut: 4,
} as const;

/** Ends the program with a message and exit code 1. */
export function exitWithError(message: string): never {
  process.stderr.write(`dapplepick: ${message}\n`);
  process.exit(1);
}
