/** The environment in which a submit file is evaluated. */

/** The properties of the submitting machine that a submit file may refer to. */
export interface SubmitEnvironment {
  /** The current working directory. */
  readonly cwd: string;
  readonly env: Readonly<Record<string, string | undefined>>;
  readonly user: string;
  /** Seconds since the Unix epoch. */
  readonly nowS: number;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  random(): number;
  /** Returns the text of a file; null if it cannot be read. */
  read(path: string): string | null;
  /** Returns the names that match a pattern, sorted; they are relative if the pattern is. */
  glob(pattern: string, type: 'files' | 'dirs' | 'any'): string[];
}
