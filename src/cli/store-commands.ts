/** The command `dapplepick store`: runs a store for several control services, or restores one from a snapshot. */
import { existsSync } from 'node:fs';
import type { Command } from 'commander';
import { splitAddress } from '../config/settings.js';
import type { Fail } from './exit.js';
import { exitOnKnownErrors, onTerminationSignal } from './run-program.js';

interface RunOptions {
  dir: string;
  listen: string;
}

async function runStore(options: RunOptions, fail: Fail): Promise<void> {
  const [{ Engine, LevelDisk, storeServer }, { createLogger }] = await Promise.all([
    import('../store/index.js'),
    import('../log.js'),
  ]);
  const { host, port } = splitAddress(options.listen);
  const log = createLogger('store');
  const disk = await LevelDisk.open(options.dir);
  const engine = await Engine.open(disk, log, (error) => fail(error.message));
  const server = storeServer(engine, options.dir);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve());
  });
  log('info', 'listening', { addr: options.listen });
  onTerminationSignal(() => {
    server.close();
    server.closeAllConnections();
    void engine.close().then(() => process.exit(0));
  });
}

async function restoreStore(snapshot: string, directory: string, fail: Fail): Promise<void> {
  if (!existsSync(snapshot)) fail(`${snapshot}: no such file`);
  const { restoreSnapshot } = await import('../store/index.js');
  const { keys, epoch } = await restoreSnapshot(snapshot, directory);
  process.stdout.write(`${directory}: ${keys} keys at revision ${epoch}\n`);
}

/** Registers `store` and its subcommands. */
export function addStoreCommands(program: Command, fail: Fail): void {
  const store = program
    .command('store')
    .description('run a store for several control services, or restore one');
  store
    .command('run')
    .description('serve a store over HTTP')
    .requiredOption('--dir <directory>', 'directory of its data')
    .option('--listen <address>', 'address to listen on, IPv4:port', '127.0.0.1:2379')
    .action((options: RunOptions) => exitOnKnownErrors(fail, () => runStore(options, fail)));
  store
    .command('restore')
    .description('create a store from a snapshot')
    .argument('<snapshot>')
    .requiredOption('--dir <directory>', 'a new directory')
    .action((snapshot: string, options: { dir: string }) =>
      exitOnKnownErrors(fail, () => restoreStore(snapshot, options.dir, fail)),
    );
}
