/**
 * Plays an earlier state of main beside this one: `npm run roll [-- REVISION]`. The earlier one is built from this repository's
 * own history under target/roll/. Not part of the tests: a clone without history has nothing to build.
 *   npm run roll                     every scenario of test/rolls.ts with the earlier program itself
 *   npm run roll -- --real           once with real processes on loopback, with kills (a minute)
 *   npm run roll -- --fixture        writes test/fixtures/before-levels.json: state as that program leaves it
 */
import { execFileSync } from 'node:child_process';
import { existsSync, mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath, pathToFileURL } from 'node:url';
import { operatorDefaults } from '../src/config/operators.js';
import { rollReal } from './roll-processes.js';
import { scenarios, type Cast } from './support/rolls.js';
import { thisProgram, type Program } from './support/controller-node.js';
import { adaptEarlierController, type EarlierControllerClass } from './support/earlier-build.js';
import { spec } from './support/fixtures.js';
import { World } from './support/world.js';

/** The last state of main that knows no levels. */
export const beforeLevels = '8ed5c62';

const sh = (command: string, args: string[], cwd = '.'): string =>
  execFileSync(command, args, {
    cwd,
    encoding: 'utf8',
    stdio: ['ignore', 'pipe', 'inherit'],
    maxBuffer: 1 << 28,
  });

/** Builds a revision once; where it is. */
export function build(revision: string): string {
  const id = sh('git', ['rev-parse', '--verify', `${revision}^{commit}`])
    .trim()
    .slice(0, 12);
  const dir = join(process.cwd(), 'target', 'roll', id);
  const main = join(dir, 'js', 'main.js');
  if (existsSync(main)) return dir;
  mkdirSync(dir, { recursive: true });
  const tar = execFileSync('git', ['archive', id, 'src', 'package.json', 'tsconfig.json'], {
    maxBuffer: 1 << 28,
  });
  execFileSync('tar', ['-x', '-C', dir], { input: tar });
  sh('npx', ['tsc', '-p', join(dir, 'tsconfig.json'), '--outDir', join(dir, 'js')]);
  return dir;
}

/** Builds from before this module existed use other names for commands, effects and members: they need an adapter. */
const firstWithTodaysNames = join('core', 'data-loss', 'record-restorer.js');

export async function earlier(revision: string): Promise<Program> {
  const js = join(build(revision), 'js');
  const at = pathToFileURL(join(js, 'core', 'controller.js')).href;
  const { Controller } = (await import(at)) as Pick<Program, 'Controller'>;
  if (existsSync(join(js, firstWithTodaysNames))) return { name: revision, Controller };
  const earlierClass = Controller as unknown as EarlierControllerClass;
  return { name: revision, Controller: adaptEarlierController(earlierClass) };
}

/** The newest level that a build knows; before levels: 1. */
async function levelOfBuild(revision: string): Promise<number> {
  const js = join(build(revision), 'js');
  const places = [join(js, 'feature-levels', 'index.js'), join(js, 'levels', 'index.js')];
  const at = places.find((place) => existsSync(place));
  if (at === undefined) return 1;
  return ((await import(pathToFileURL(at).href)) as { newestLevel: number }).newestLevel;
}

async function fixture(revision: string): Promise<void> {
  const program = await earlier(revision);
  const w = new World(3);
  for (const n of w.nodes) {
    n.program = program;
    n.boot();
  }
  w.advance(5);
  const [n] = w.nodes;
  n.submit(spec('req-1', { tasks: 1, team: 'blue' }));
  n.submit(spec('req-2', { tasks: 3, team: 'blue', shape: 'gang', cpus: 4 }));
  n.submit(spec('req-3', { tasks: 200, team: 'red' }));
  n.submit(spec('req-4', { tasks: 2, team: 'blue', shape: 'service' }));
  w.advanceUntil(() => n.status('req-1')?.body['status'] === 'done', 120);
  n.submit(spec('req-5', { tasks: 2, team: 'blue' }));
  n.submit(spec('req-6', { tasks: 1, team: 'blue', cpus: 8 }));
  w.advanceUntil(() => w.running('req-5').length === 2, 60);
  n.cancel('req-5');
  const keys = [...w.state.entries.values()].map(({ key, data, stamp }) => ({ key, data, stamp }));
  const text = JSON.stringify({ program: revision, epoch: w.state.epoch, keys }, null, 1);
  mkdirSync('test/fixtures', { recursive: true });
  writeFileSync('test/fixtures/before-levels.json', `${text}\n`);
  process.stdout.write(`${keys.length} keys at revision ${w.state.epoch}\n`);
}

async function main(args: string[]): Promise<number> {
  const revision = args.find((a) => !a.startsWith('--')) ?? beforeLevels;
  if (args.includes('--fixture')) return fixture(revision).then(() => 0);
  if (args.includes('--real')) {
    const now = fileURLToPath(new URL('../src/main.js', import.meta.url));
    return rollReal(join(build(revision), 'js', 'main.js'), now);
  }
  const program = await earlier(revision);
  const level = await levelOfBuild(revision);
  const cast: Cast = {
    earlier: (n) => Object.assign(n, { program, operators: { ...operatorDefaults } }),
    fresh: (n) => Object.assign(n, { program: thisProgram, operators: { ...operatorDefaults } }),
    level,
    knowsLevels: level > 1,
  };
  let failed = 0;
  const only = args.find((a) => a.startsWith('--only='))?.slice(7);
  for (const [name, play] of Object.entries(scenarios)) {
    if (only !== undefined && !name.includes(only)) continue;
    const from = performance.now();
    let why = '';
    try {
      play(cast);
    } catch (e) {
      failed++;
      why = `\n    ${String((e as Error).stack)}`;
    }
    const s = ((performance.now() - from) / 1000).toFixed(1);
    process.stdout.write(
      `${why === '' ? 'ok    ' : 'FAILED'} ${revision} and this: ${name} (${s} s)${why}\n`,
    );
  }
  return failed === 0 ? 0 : 1;
}

process.exit(await main(process.argv.slice(2)));
