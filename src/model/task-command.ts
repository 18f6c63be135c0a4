import type { CommandSpec } from './job.js';

/** In a command of an array, it stands for the task's number: a character that is nobody's, from Unicode's private area. */
export const numberMark = '\uE000';

/** The command of one task: numbers are counted from `first`. Without it nothing stands for them. */
export function commandOf(c: CommandSpec, index: number): CommandSpec {
  const { first } = c;
  if (first === undefined) return c;
  const fill = (s: string): string => s.replaceAll(numberMark, String(first + index));
  const maybe = (s: string | null): string | null => (s === null ? null : fill(s));
  return {
    ...c,
    argv: c.argv.map(fill),
    env: Object.fromEntries(Object.entries(c.env).map(([n, x]) => [n, fill(x)])),
    dir: maybe(c.dir),
    stdout: maybe(c.stdout),
    stderr: maybe(c.stderr),
  };
}
