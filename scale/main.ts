/** Command line of the scale run (`npm run scale`): runs controllers at production size on this machine. */
import { writeFileSync } from 'node:fs';
import { figuresTable } from './figures.js';
import { parseOptions, ScaleError } from './options.js';
import { runScale } from './run.js';

const printLine = (line: string): void => void process.stdout.write(`${line}\n`);

try {
  const options = parseOptions(process.argv.slice(2));
  const result = await runScale(options, printLine);
  for (const cell of result.cells) for (const line of figuresTable(cell)) printLine(line);
  if (options.json !== null) writeFileSync(options.json, `${JSON.stringify(result, null, 1)}\n`);
  printLine(
    result.ok
      ? 'passed: no rule violated'
      : 'FAILED: a rule was violated, or a controller exited unexpectedly',
  );
  process.exit(result.ok ? 0 : 1);
} catch (e) {
  if (!(e instanceof ScaleError)) throw e;
  process.stderr.write(`scale: ${e.message}\n`);
  process.exit(2);
}
