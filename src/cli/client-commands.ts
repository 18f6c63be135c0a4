/** The commands of users and operators that talk to a running controller, control service or store. */
import type { Command } from 'commander';
import { ApiClient } from './api-client.js';
import type { AddCommand, CommonOptions } from './client-command.js';
import type { Fail } from './exit.js';
import { addJobCommands } from './job-commands.js';
import { addMachineCommands } from './machine-commands.js';
import { printJson } from './output.js';
import { addSubmitCommand } from './submit-command.js';

async function takeSnapshot(options: CommonOptions, fail: Fail): Promise<void> {
  printJson(await new ApiClient(options.node, fail).requestOk('POST', '/snapshot', {}));
  process.exit(0);
}

/** Registers the commands, in the order in which the help lists them. */
export function addClientCommands(program: Command, fail: Fail): void {
  const command: AddCommand = (name, description, example) =>
    program
      .command(name)
      .description(description)
      .option('--node <address>', 'a controller or control service, HOST:PORT', '127.0.0.1:8080')
      .option('--json', 'print the result as JSON')
      .addHelpText('after', `\nExample:\n  ${example}\n`);
  addSubmitCommand(command, fail);
  addJobCommands(command, fail);
  addMachineCommands(command, fail);
  command(
    'snapshot',
    'write a snapshot of the store while it keeps running',
    'dapplepick snapshot --node 127.0.0.1:2379',
  ).action((options: CommonOptions) => takeSnapshot(options, fail));
}
