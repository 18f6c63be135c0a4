/** The commands for machines: `machines`, `drain` and `forget`. */
import { ApiClient } from './api-client.js';
import type { AddCommand, CommonOptions } from './client-command.js';
import type { Fail } from './exit.js';
import { printJson, printTable } from './output.js';

type MachineRow = Record<string, string | number | null | undefined>;

/** Fields of the API response, in the order of the table columns. */
const columns = ['name', 'host', 'state', 'type', 'zone', 'cpus', 'usedCpus', 'tasks', 'silentS', 'held'];

async function listMachines(options: CommonOptions, fail: Fail): Promise<void> {
  const client = new ApiClient(options.node, fail);
  const { machines } = (await client.requestOk('GET', '/machines', null)) as { machines: MachineRow[] };
  if (options.json) printJson({ machines });
  else
    printTable(
      columns,
      machines.map((machine) => columns.map((column) => String(machine[column] ?? ''))),
    );
  process.exit(0);
}

async function changeMachine(
  action: 'drain' | 'forget',
  machine: string,
  options: CommonOptions,
  fail: Fail,
): Promise<void> {
  const client = new ApiClient(options.node, fail);
  printJson(await client.requestOk('POST', `/machines/${encodeURIComponent(machine)}/${action}`, {}));
  process.exit(0);
}

/** Registers the commands for machines. */
export function addMachineCommands(command: AddCommand, fail: Fail): void {
  command('machines', 'list machines', 'dapplepick machines --json').action((options: CommonOptions) =>
    listMachines(options, fail),
  );
  const changing = (action: 'drain' | 'forget', description: string): void =>
    void command(action, description, `dapplepick ${action} desk-1`)
      .argument('<machine>', 'name of an agent, or host name of its machine')
      .action((machine: string, options: CommonOptions) => changeMachine(action, machine, options, fail));
  changing('drain', 'make an agent leave once its running tasks have ended');
  changing('forget', 'declare that a machine and everything on it is gone: its tasks are started elsewhere');
}
