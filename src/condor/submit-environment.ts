/** The environment in which a submit file is read. */

/** What a submit file may refer to on the machine on which it is submitted. */
export interface SubmitEnvironment {
  /** The current directory. */
  readonly cwd: string;
  readonly env: Readonly<Record<string, string | undefined>>;
  readonly user: string;
  /** Time of day, s. */
  readonly nowS: number;
  /** A random number from 0 to 1. */
  random(): number;
  /** The text of a file; null if it cannot be read. */
  read(path: string): string | null;
  /** The names that match a pattern, sorted; relative if the pattern is. */
  glob(pattern: string, type: 'files' | 'dirs' | 'any'): string[];
}
