import { readFileSync } from 'node:fs';
import { Command } from 'commander';
import { defaults, loadOperators, type Operators } from '../config/operators.js';
import { loadSettings, SettingsError, type Settings } from '../config/settings.js';

const version = (): string => {
  const text = readFileSync(new URL('../../package.json', import.meta.url), 'utf8');
  return (JSON.parse(text) as { version: string }).version;
};

function fail(message: string): never {
  process.stderr.write(`dapplepick: ${message}\n`);
  process.exit(1);
}

function load(config: string, operators?: string): { settings: Settings; operators: Operators } {
  try {
    return {
      settings: loadSettings(config),
      operators: operators === undefined ? { ...defaults } : loadOperators(operators),
    };
  } catch (e) {
    if (e instanceof SettingsError) fail(e.message);
    throw e;
  }
}

async function runController(config: string, operatorsFile?: string): Promise<void> {
  const { settings, operators } = load(config, operatorsFile);
  const [{ makeLog }, { Service }] = await Promise.all([import('../log.js'), import('../service.js')]);
  const log = makeLog(settings.member);
  try {
    await new Service(settings, operators, log).start();
  } catch (e) {
    fail(`cannot listen on ${settings.publicAddr}: ${String((e as Error).message)}`);
  }
}

export async function main(argv: string[]): Promise<void> {
  const program = new Command('dapplepick')
    .description('A cluster scheduler: takes jobs, rents machines, runs tasks through workers.')
    .version(version())
    .option('--config <file>', "run a controller with the platform's settings (TOML)")
    .option('--operators <file>', "the operators' own settings (S-expressions)")
    .action(async (o: { config?: string; operators?: string }) => {
      if (o.config === undefined) return program.help({ error: true });
      await runController(o.config, o.operators);
    });
  program
    .command('check')
    .description('check settings files and print what is in force')
    .argument('<config>', "the platform's settings (TOML)")
    .argument('[operators]', "the operators' own settings (S-expressions)")
    .action((config: string, operators?: string) => {
      const { settings, operators: o } = load(config, operators);
      const listed = Object.entries(o).map(([k, x]) => `  (${k} ${x})`);
      process.stdout.write(`${settings.member}: settings are valid\n(dapplepick\n${listed.join('\n')})\n`);
    });
  const { addClientCommands } = await import('./client.js');
  addClientCommands(program, fail);
  await program.parseAsync(argv);
}
