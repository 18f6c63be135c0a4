/** What a submit file may see of the machine on which it is submitted. */
export interface SubmitEnvironment {
  cwd: string;
  env: Readonly<Record<string, string | undefined>>;
  user: string;
  /** Time of day, s. */
  nowS: number;
  random(): number;
  /** null: it cannot be read. */
  read(path: string): string | null;
  /** Names that match, sorted, as the pattern was given: relative or not. */
  glob(pattern: string, type: 'files' | 'dirs' | 'any'): string[];
}
