/** The `level` commands against a real state service, and a controller process that receives SIGTERM. */
import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { levelData, membersData, presenceData } from '../src/core/storage/index.js';
import { capabilitiesOf, newestLevel, legacyCapabilities } from '../src/feature-levels/index.js';
import { JsonClient } from '../src/net/client.js';
import { findFreePort } from '../src/net/port.js';
import { Engine, LevelDisk, storeServer } from '../src/store/index.js';
import { settingsText } from './support/fixtures.js';

const main = fileURLToPath(new URL('../src/main.js', import.meta.url));

/** Runs a test body with a state service on the loopback address. */
async function withStore(body: (addr: string, engine: Engine, dir: string) => Promise<void>): Promise<void> {
  const dir = mkdtempSync(join(tmpdir(), 'dapplepick-level-'));
  const engine = await Engine.open(await LevelDisk.open(join(dir, 'store')), () => undefined, assert.ifError);
  const server = storeServer(engine, dir);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', () => resolve()));
  try {
    await body(`127.0.0.1:${(server.address() as AddressInfo).port}`, engine, dir);
  } finally {
    server.close();
    server.closeAllConnections();
    await engine.close();
    rmSync(dir, { recursive: true, force: true });
  }
}

async function run(...args: string[]): Promise<{ code: number; out: string; err: string }> {
  const child = spawn(process.execPath, [main, ...args], { stdio: ['ignore', 'pipe', 'pipe'] });
  let out = '';
  let err = '';
  child.stdout.on('data', (d: Buffer) => (out += d.toString()));
  child.stderr.on('data', (d: Buffer) => (err += d.toString()));
  const [code] = (await once(child, 'close')) as [number];
  return { code, out, err };
}

test('operators show, hold and lower the level, and declare members gone', () =>
  withStore(async (addr, engine) => {
    const put = (key: string, data: Record<string, unknown>) =>
      engine.commit({ conditions: [], writes: [{ key, data }] });
    const level = (...args: string[]) => run('level', ...args, '--state', addr);
    assert.match((await level('show')).out, /^level 1\n$/);
    await put('dp/level', levelData(2, 2));
    await put(
      'dp/members',
      membersData(
        new Map([
          ['n0', capabilitiesOf('0.2.0')],
          ['n1', legacyCapabilities],
        ]),
        null,
      ),
    );
    await put('dp/node/n0', presenceData('r', 1, capabilitiesOf('0.2.0')));
    assert.match((await level('hold', '2')).out, /held at 2/);
    await level('gone', 'n1');
    const output = (await level('show')).out;
    for (const line of [
      /^level 2$/m,
      /^held at 2$/m,
      /^permanently gone: n1$/m,
      new RegExp(`^n0 .*levels 1 to ${newestLevel}, present$`, 'm'),
      /^n1 .*before levels.*not present$/m,
    ])
      assert.match(output, line);
    await level('back', 'n1');
    assert.doesNotMatch((await level('show')).out, /gone/);
    // No leader lowers the level: the command times out, and the request stays.
    const timedOut = await level('lower', '1', '--within', '1');
    assert.equal(timedOut.code, 4);
    assert.match(timedOut.err, /not lowered yet/);
    // The leader refuses: its note names the revision of this very request.
    const lowering = level('lower', '1', '--within', '20');
    const http = new JsonClient(addr, 1);
    for (let stamp = 0; stamp === 0;) {
      const response = await http.call('GET', '/kv/dp/wish', null, 2000);
      const wish = response?.body as { data: { lower: boolean }; stamp: number };
      if (wish.data.lower) stamp = wish.stamp;
      await put('dp/members', membersData(new Map(), { wish: stamp, text: 'not lowered: 1 records' }));
    }
    for (let finished = false; !finished;) {
      const response = await http.call('GET', '/kv/dp/wish', null, 2000);
      const { stamp } = response?.body as { stamp: number };
      await put('dp/members', membersData(new Map(), { wish: stamp, text: 'not lowered: 1 records' }));
      finished = await Promise.race([
        lowering.then(() => true),
        new Promise<boolean>((resolve) => setTimeout(() => resolve(false), 200)),
      ]);
    }
    const refused = await lowering;
    assert.equal(refused.code, 2);
    assert.match(refused.err, /not lowered: 1 records/);
    await level('release');
    assert.doesNotMatch((await level('show')).out, /held/);
    // Invalid arguments and an unreachable state service.
    for (const [args, message] of [
      [['hold', 'high', '--state', addr], /expected a whole number/],
      [['show'], /expected --settings FILE or --state ADDRESS/],
      [['show', '--state', 'nowhere'], /--state: expected IPv4:PORT/],
      [['show', '--state', `127.0.0.1:${await findFreePort()}`], /no answer from the state service/],
    ] as const) {
      const result = await run('level', ...args);
      assert.equal(result.code, 1);
      assert.match(result.err, message);
    }
  }));

test('SIGTERM: the health check fails at once, then the process exits with code 0', () =>
  withStore(async (addr, _, dir) => {
    const address = `127.0.0.1:${await findFreePort()}`;
    const file = join(dir, 'n0.toml');
    const text = settingsText('n0', 1)
      .replace('127.0.0.1:8080', address)
      .replace('127.0.0.1:2"', `${addr}"`)
      .replace('lease_s = 16.0', 'lease_s = 4.0');
    writeFileSync(file, text);
    const child = spawn(process.execPath, [main, '--config', file], { stdio: 'ignore' });
    const exit = once(child, 'exit');
    try {
      const http = new JsonClient(address, 2);
      const health = async (): Promise<number> =>
        (await http.call('GET', '/healthz', null, 1000))?.status ?? 0;
      for (let i = 0; (await health()) !== 200; i++) {
        assert.ok(i < 200);
        await new Promise((resolve) => setTimeout(resolve, 50));
      }
      child.kill('SIGTERM');
      await new Promise((resolve) => setTimeout(resolve, 300));
      assert.equal(await health(), 503);
      assert.equal((await http.call('GET', '/work/req-1', null, 2000))?.status, 404);
      const [code] = (await exit) as [number];
      assert.equal(code, 0);
    } finally {
      child.kill('SIGKILL');
    }
  }));
