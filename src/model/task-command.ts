/** Expands the placeholder for the task number in the commands of array jobs. */
import type { CommandSpec } from './job.js';

/** Placeholder for the task number in a command: a character of Unicode's private use area, which no command contains otherwise. */
export const taskIndexPlaceholder = '\uE000';

/** The command of one task: placeholders are replaced by its number, counted from `first`. A command without `first` has none. */
export function commandForTask(command: CommandSpec, index: number): CommandSpec {
  const { first } = command;
  if (first === undefined) return command;
  const fill = (text: string): string => text.replaceAll(taskIndexPlaceholder, String(first + index));
  const fillOptional = (text: string | null): string | null => (text === null ? null : fill(text));
  return {
    ...command,
    argv: command.argv.map(fill),
    env: Object.fromEntries(Object.entries(command.env).map(([name, value]) => [name, fill(value)])),
    dir: fillOptional(command.dir),
    stdout: fillOptional(command.stdout),
    stderr: fillOptional(command.stderr),
  };
}
