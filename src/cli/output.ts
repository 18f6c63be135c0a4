/** Functions that print to standard output. */

/** Prints a line. */
export const printLine = (text: string): void => void process.stdout.write(`${text}\n`);

/** Prints a value as one line of JSON. */
export const printJson = (value: unknown): void => printLine(JSON.stringify(value));

/** Prints a table whose columns are as wide as their widest cell. */
export function printTable(head: readonly string[], rows: readonly string[][]): void {
  const widths = head.map((title, i) => Math.max(title.length, ...rows.map((row) => row[i].length)));
  for (const row of [head, ...rows])
    printLine(
      row
        .map((cell, i) => cell.padEnd(widths[i]))
        .join('  ')
        .trimEnd(),
    );
}

/** Formats a duration in seconds with one decimal. */
export const formatSeconds = (ms: number): string => `${(ms / 1000).toFixed(1)} s`;
