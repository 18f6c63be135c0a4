/** The command `dapplepick control`: runs a control service. */
import type { Command } from 'commander';
import type { Fail } from './exit.js';
import { exitOnKnownErrors, onTerminationSignal, readFile } from './run-program.js';

async function runControl(path: string, fail: Fail): Promise<void> {
  const [{ openControl, parseControlSettings }, { createLogger }] = await Promise.all([
    import('../control/index.js'),
    import('../log.js'),
  ]);
  const settings = parseControlSettings(readFile(path, fail), path);
  const opened = await openControl(settings, createLogger(settings.name), (error) => fail(error.message));
  await opened.control.start();
  onTerminationSignal(() => void opened.close().then(() => process.exit(0)));
}

/** Registers the command. */
export function addControlCommand(program: Command, fail: Fail): void {
  program
    .command('control')
    .description('run a control service: a scheduler and a store, with agents instead of a cloud')
    .argument('<settings>', 'settings file (S-expressions)')
    .addHelpText('after', '\nExample:\n  dapplepick control deploy/control.scm\n')
    .action((path: string) => exitOnKnownErrors(fail, () => runControl(path, fail)));
}
