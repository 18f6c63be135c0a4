/**
 * Tests rolling upgrades from an earlier revision to the current program: `npm run roll [-- REVISION]`. The earlier revision is
 * built from the history of this repository under target/roll/. This is not part of the test suite, since a clone without
 * history cannot build earlier revisions.
 *   npm run roll                     every scenario of test/support/rolling-upgrade.ts with the program of the earlier revision
 *   npm run roll -- --only=TEXT      only the scenarios whose title contains TEXT
 *   npm run roll -- --real           one upgrade of real processes on loopback, with kills; takes a minute
 *   npm run roll -- --fixture        writes test/fixtures/before-levels.json, the state that the earlier program leaves
 */
import { execFileSync } from 'node:child_process';
import { existsSync, mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath, pathToFileURL } from 'node:url';
import { operatorDefaults } from '../src/config/operators.js';
import { upgradeProcesses } from './upgrade-processes.js';
import { scenarios, type ProgramVersions } from './support/rolling-upgrade.js';
import { thisProgram, type Program } from './support/controller-node.js';
import { adaptEarlierController, type EarlierControllerClass } from './support/earlier-build.js';
import { spec } from './support/fixtures.js';
import { World } from './support/world.js';

/** The last revision of the main branch without feature levels. */
export const lastRevisionWithoutLevels = '8ed5c62';

/** Runs a command and returns its standard output. */
const run = (command: string, args: string[], cwd = '.'): string =>
  execFileSync(command, args, {
    cwd,
    encoding: 'utf8',
    stdio: ['ignore', 'pipe', 'inherit'],
    maxBuffer: 1 << 28,
  });

/** Builds a revision unless it is already built, and returns its directory. */
export function buildRevision(revision: string): string {
  const id = run('git', ['rev-parse', '--verify', `${revision}^{commit}`])
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
  run('npx', ['tsc', '-p', join(dir, 'tsconfig.json'), '--outDir', join(dir, 'js')]);
  return dir;
}

/** Builds without this module use other names for commands, effects and members of the controller, so they need an adapter. */
const firstModuleWithCurrentNames = join('core', 'data-loss', 'record-restorer.js');

/** Builds and loads the controllers of an earlier revision. */
export async function loadEarlierProgram(revision: string): Promise<Program> {
  const jsDir = join(buildRevision(revision), 'js');
  const moduleUrl = pathToFileURL(join(jsDir, 'core', 'controller.js')).href;
  const { Controller } = (await import(moduleUrl)) as Pick<Program, 'Controller'>;
  if (existsSync(join(jsDir, firstModuleWithCurrentNames))) return { name: revision, Controller };
  const earlierClass = Controller as unknown as EarlierControllerClass;
  return { name: revision, Controller: adaptEarlierController(earlierClass) };
}

/** The newest feature level that a revision knows; 1 if it has no feature levels. */
async function levelOfBuild(revision: string): Promise<number> {
  const js = join(buildRevision(revision), 'js');
  const possiblePaths = [join(js, 'feature-levels', 'index.js'), join(js, 'levels', 'index.js')];
  const modulePath = possiblePaths.find((place) => existsSync(place));
  if (modulePath === undefined) return 1;
  return ((await import(pathToFileURL(modulePath).href)) as { newestLevel: number }).newestLevel;
}

/** Writes the stored state that a revision leaves after jobs of each shape, in several states, were submitted. */
async function writeFixture(revision: string): Promise<void> {
  const program = await loadEarlierProgram(revision);
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
  const text = JSON.stringify({ program: revision, epoch: w.state.revision, keys }, null, 1);
  mkdirSync('test/fixtures', { recursive: true });
  writeFileSync('test/fixtures/before-levels.json', `${text}\n`);
  process.stdout.write(`${keys.length} keys at revision ${w.state.revision}\n`);
}

async function main(args: string[]): Promise<number> {
  const revision = args.find((a) => !a.startsWith('--')) ?? lastRevisionWithoutLevels;
  if (args.includes('--fixture')) return writeFixture(revision).then(() => 0);
  if (args.includes('--real')) {
    const currentMain = fileURLToPath(new URL('../src/main.js', import.meta.url));
    return upgradeProcesses(join(buildRevision(revision), 'js', 'main.js'), currentMain);
  }
  const program = await loadEarlierProgram(revision);
  const level = await levelOfBuild(revision);
  const versions: ProgramVersions = {
    installEarlier: (n) => Object.assign(n, { program, operators: { ...operatorDefaults } }),
    installCurrent: (n) => Object.assign(n, { program: thisProgram, operators: { ...operatorDefaults } }),
    earlierLevel: level,
    earlierKnowsLevels: level > 1,
  };
  let failed = 0;
  const titleFilter = args.find((a) => a.startsWith('--only='))?.slice(7);
  for (const [name, runScenario] of Object.entries(scenarios)) {
    if (titleFilter !== undefined && !name.includes(titleFilter)) continue;
    const startedAt = performance.now();
    let failure = '';
    try {
      runScenario(versions);
    } catch (e) {
      failed++;
      failure = `\n    ${String((e as Error).stack)}`;
    }
    const seconds = ((performance.now() - startedAt) / 1000).toFixed(1);
    process.stdout.write(
      `${failure === '' ? 'ok    ' : 'FAILED'} ${revision} to the current program: ${name} (${seconds} s)${failure}\n`,
    );
  }
  return failed === 0 ? 0 : 1;
}

process.exit(await main(process.argv.slice(2)));
