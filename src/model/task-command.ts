import type { CommandSpec } from './job.js';

/** In a command of an array, it stands for the task's number: a character that is nobody's, from Unicode's private area. */
export const taskIndexPlaceholder = '\uE000';

/** The command of one task: numbers are counted from `first`. Without it nothing stands for them. */
export function commandForTask(command: CommandSpec, index: number): CommandSpec {
  const { first } = command;
  if (first === undefined) return command;
  const fill = (text: string): string => text.replaceAll(taskIndexPlaceholder, String(first + index));
  const fillOptional = (s: string | null): string | null => (s === null ? null : fill(s));
  return {
    ...command,
    argv: command.argv.map(fill),
    env: Object.fromEntries(Object.entries(command.env).map(([n, x]) => [n, fill(x)])),
    dir: fillOptional(command.dir),
    stdout: fillOptional(command.stdout),
    stderr: fillOptional(command.stderr),
  };
}
