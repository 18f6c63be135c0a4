/** The command `dapplepick agent`: runs an agent. */
import type { Command } from 'commander';
import type { Fail } from './exit.js';
import { exitOnKnownErrors, onTerminationSignal, readFile } from './run-program.js';

async function runAgent(path: string, fail: Fail): Promise<void> {
  const [{ Agent, parseAgentSettings }, { createLogger }, { seededRandom }, { randomInt }] =
    await Promise.all([
      import('../agent/index.js'),
      import('../log.js'),
      import('../retry/index.js'),
      import('node:crypto'),
    ]);
  const settings = parseAgentSettings(readFile(path, fail), path);
  const agent = new Agent(settings, seededRandom(randomInt(2 ** 31)), createLogger(settings.name));
  await agent.start();
  // The commands of its tasks keep running: the agent adopts them when it is started again.
  onTerminationSignal(() => {
    agent.stop();
    process.exit(0);
  });
  const reason = await agent.released;
  process.stderr.write(`dapplepick: agent ${settings.name} exits: ${reason}\n`);
  process.exit(0);
}

/** Registers `agent` and its subcommand. */
export function addAgentCommand(program: Command, fail: Fail): void {
  const agent = program.command('agent').description('run an agent');
  agent
    .command('run')
    .description('join a control service and run its tasks on this machine')
    .argument('<settings>', 'settings file (S-expressions)')
    .addHelpText('after', '\nExample:\n  dapplepick agent run deploy/agent.scm\n')
    .action((path: string) => exitOnKnownErrors(fail, () => runAgent(path, fail)));
}
