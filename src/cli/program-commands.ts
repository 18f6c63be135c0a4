import { existsSync, readFileSync } from 'node:fs';
import type { Command } from 'commander';
import { SettingsError, splitAddr } from '../config/settings.js';

type Fail = (message: string) => never;

function readFile(path: string, fail: Fail): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (e) {
    fail(`${path}: cannot be read: ${(e as NodeJS.ErrnoException).code ?? String(e)}`);
  }
}

/** Runs what may find the operator's settings or directories wrong: one line then, no trace. */
async function exitOnKnownErrors(fail: Fail, run: () => Promise<void>): Promise<void> {
  try {
    await run();
  } catch (e) {
    const { StoreError } = await import('../store/errors.js');
    const code = (e as NodeJS.ErrnoException).code;
    if (e instanceof SettingsError || e instanceof StoreError) fail(e.message);
    if (code === 'EADDRINUSE' || code === 'EACCES' || code === 'EADDRNOTAVAIL')
      fail(String((e as Error).message));
    throw e;
  }
}

const onTerminationSignal = (end: () => void): void => {
  for (const name of ['SIGINT', 'SIGTERM'] as const) process.once(name, end);
};

/** The programs of the product: control service, agent, store. Each is loaded only when it is asked for. */
export function addProgramCommands(program: Command, fail: Fail): void {
  program
    .command('control')
    .description('run a control service: the schedule, a store, agents instead of a cloud')
    .argument('<settings>', 'its settings (S-expressions)')
    .addHelpText('after', '\nExample:\n  dapplepick control deploy/control.scm\n')
    .action((path: string) =>
      exitOnKnownErrors(fail, async () => {
        const [{ openControl, parseControlSettings }, { makeLog }] = await Promise.all([
          import('../control/index.js'),
          import('../log.js'),
        ]);
        const settings = parseControlSettings(readFile(path, fail), path);
        const open = await openControl(settings, makeLog(settings.name), (e) => fail(e.message));
        await open.control.start();
        onTerminationSignal(() => void open.close().then(() => process.exit(0)));
      }),
    );

  const agent = program.command('agent').description('run an agent, or have one leave in order');
  agent
    .command('run')
    .description('join a control service and run its tasks on this machine')
    .argument('<settings>', 'its settings (S-expressions)')
    .addHelpText('after', '\nExample:\n  dapplepick agent run deploy/agent.scm\n')
    .action((path: string) =>
      exitOnKnownErrors(fail, async () => {
        const [{ Agent, parseAgentSettings }, { makeLog }, { seededRandom: seeded }, { randomInt }] =
          await Promise.all([
            import('../agent/index.js'),
            import('../log.js'),
            import('../retry/index.js'),
            import('node:crypto'),
          ]);
        const settings = parseAgentSettings(readFile(path, fail), path);
        const agentProcess = new Agent(settings, seeded(randomInt(2 ** 31)), makeLog(settings.name));
        await agentProcess.start();
        // What it runs goes on: the next start finds it again.
        onTerminationSignal(() => {
          agentProcess.stop();
          process.exit(0);
        });
        const why = await agentProcess.released;
        process.stderr.write(`dapplepick: agent ${settings.name} ends: ${why}\n`);
        process.exit(0);
      }),
    );

  program
    .command('demo')
    .description('a control service and two agents in a fresh directory run a batch, and end')
    .action(async () => {
      const { demo } = await import('./demo.js');
      process.exit(await demo());
    });

  const store = program
    .command('store')
    .description('run a store for several control services; keep it safe');
  store
    .command('run')
    .description('serve a store over HTTP')
    .requiredOption('--dir <directory>', 'where it keeps everything')
    .option('--listen <address>', 'IPv4:port', '127.0.0.1:2379')
    .action((o: { dir: string; listen: string }) =>
      exitOnKnownErrors(fail, async () => {
        const [{ Engine, LevelDisk, storeServer }, { makeLog }] = await Promise.all([
          import('../store/index.js'),
          import('../log.js'),
        ]);
        const { host, port } = splitAddr(o.listen);
        const log = makeLog('store');
        const engine = await Engine.open(await LevelDisk.open(o.dir), log, (e) => fail(e.message));
        const server = storeServer(engine, o.dir);
        await new Promise<void>((resolve, reject) => {
          server.once('error', reject);
          server.listen(port, host, () => resolve());
        });
        log('info', 'listening', { addr: o.listen });
        onTerminationSignal(() => {
          server.close();
          server.closeAllConnections();
          void engine.close().then(() => process.exit(0));
        });
      }),
    );
  store
    .command('restore')
    .description('make a store from a snapshot')
    .argument('<snapshot>')
    .requiredOption('--dir <directory>', 'a new directory')
    .action((snapshot: string, o: { dir: string }) =>
      exitOnKnownErrors(fail, async () => {
        if (!existsSync(snapshot)) fail(`${snapshot}: there is no such file`);
        const { restoreSnapshot } = await import('../store/index.js');
        const { keys, epoch } = await restoreSnapshot(snapshot, o.dir);
        process.stdout.write(`${o.dir}: ${keys} keys at revision ${epoch}\n`);
      }),
    );
}
