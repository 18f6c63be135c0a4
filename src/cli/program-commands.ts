/** The commands that run the long-running programs and the demo. Each program is loaded only if it is run. */
import type { Command } from 'commander';
import { addAgentCommand } from './agent-command.js';
import { addControlCommand } from './control-command.js';
import type { Fail } from './exit.js';
import { addStoreCommands } from './store-commands.js';

/** Registers the commands, in the order in which the help lists them. */
export function addProgramCommands(program: Command, fail: Fail): void {
  addControlCommand(program, fail);
  addAgentCommand(program, fail);
  program
    .command('demo')
    .description('run a batch of jobs on a control service and two agents in a temporary directory')
    .action(async () => {
      const { demo } = await import('./demo.js');
      process.exit(await demo());
    });
  addStoreCommands(program, fail);
}
