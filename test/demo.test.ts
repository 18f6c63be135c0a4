/** The README's demo runs and ends well. */
import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { existsSync } from 'node:fs';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';

// Guards against the demo that removed its directory while its agents still wrote there: it ended with ENOTEMPTY.
test('the demo runs to its end, says so by its exit code and leaves nothing behind', async () => {
  const main = fileURLToPath(new URL('../src/main.js', import.meta.url));
  const child = spawn(process.execPath, [main, 'demo'], { stdio: ['ignore', 'pipe', 'pipe'] });
  let output = '';
  child.stdout.on('data', (d: Buffer) => (output += d.toString()));
  child.stderr.on('data', (d: Buffer) => (output += d.toString()));
  const [code] = (await once(child, 'exit')) as [number | null];
  assert.equal(code, 0, output);
  assert.match(output, /All as it should be/);
  const dir = /all in (\S+)/.exec(output)?.[1];
  assert.ok(dir !== undefined && !existsSync(dir), dir);
});
