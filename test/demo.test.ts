/** The command `dapplepick demo` as a whole. */
import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { existsSync } from 'node:fs';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';

// Guards against removing the directory while agents still write to it: the demo then failed with ENOTEMPTY.
test('the demo succeeds with exit code 0 and removes its directory', async () => {
  const main = fileURLToPath(new URL('../src/main.js', import.meta.url));
  const child = spawn(process.execPath, [main, 'demo'], { stdio: ['ignore', 'pipe', 'pipe'] });
  let output = '';
  child.stdout.on('data', (d: Buffer) => (output += d.toString()));
  child.stderr.on('data', (d: Buffer) => (output += d.toString()));
  const [code] = (await once(child, 'exit')) as [number | null];
  assert.equal(code, 0, output);
  assert.match(output, /All jobs ended as expected/);
  const dir = /all in (\S+)/.exec(output)?.[1];
  assert.ok(dir !== undefined && !existsSync(dir), dir);
});
