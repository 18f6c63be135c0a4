/** The command line: `--config` runs a controller; the modules of all other commands are loaded on demand. */
import { Command } from 'commander';
import { operatorDefaults, loadOperatorSettings, type OperatorSettings } from '../config/operators.js';
import { version } from '../version.js';
import { loadSettings, SettingsError, type Settings } from '../config/settings.js';
import { exitWithError } from './exit.js';

/** Loads the settings files; ends the program if one is invalid. */
function loadSettingsFiles(
  config: string,
  operators?: string,
): { settings: Settings; operators: OperatorSettings } {
  try {
    return {
      settings: loadSettings(config),
      operators: operators === undefined ? { ...operatorDefaults } : loadOperatorSettings(operators),
    };
  } catch (error) {
    if (error instanceof SettingsError) exitWithError(error.message);
    throw error;
  }
}

async function runController(config: string, operatorsFile?: string): Promise<void> {
  const { settings, operators } = loadSettingsFiles(config, operatorsFile);
  const [{ createLogger }, { Service }] = await Promise.all([import('../log.js'), import('../service.js')]);
  const log = createLogger(settings.member);
  try {
    const service = new Service(settings, operators, log, {}, version());
    await service.start();
    process.once('SIGTERM', () => void service.shutDown().then(() => process.exit(0)));
  } catch (e) {
    exitWithError(`cannot listen on ${settings.publicAddr}: ${String((e as Error).message)}`);
  }
}

/** Parses the arguments and runs the command that they name. */
export async function main(argv: string[]): Promise<void> {
  const program = new Command('dapplepick')
    .description('A cluster scheduler: takes jobs, rents machines, runs tasks through workers.')
    .version(version())
    .option('--config <file>', "run a controller with the platform's settings (TOML)")
    .option('--operators <file>', "the operators' own settings (S-expressions)")
    .action(async (options: { config?: string; operators?: string }) => {
      if (options.config === undefined) return program.help({ error: true });
      await runController(options.config, options.operators);
    });
  program
    .command('check')
    .description('check settings files and print the settings in force')
    .argument('<config>', "the platform's settings (TOML)")
    .argument('[operators]', "the operators' own settings (S-expressions)")
    .action((config: string, operators?: string) => {
      const { settings, operators: operatorSettings } = loadSettingsFiles(config, operators);
      const listed = Object.entries(operatorSettings).map(([name, value]) => `  (${name} ${value})`);
      process.stdout.write(`${settings.member}: settings are valid\n(dapplepick\n${listed.join('\n')})\n`);
    });
  if (argv[2] !== '--config') await addCommands(program, argv[2]);
  await program.parseAsync(argv);
}

/** Registers the commands. The modules of `level` and `condor` load slowly, so only if the first argument names them. */
async function addCommands(program: Command, name: string | undefined): Promise<void> {
  const [{ addClientCommands }, { addProgramCommands }] = await Promise.all([
    import('./client-commands.js'),
    import('./program-commands.js'),
  ]);
  addClientCommands(program, exitWithError);
  addProgramCommands(program, exitWithError);
  if (name === 'level') (await import('./level.js')).addLevelCommands(program, exitWithError);
  else
    program
      .command('level')
      .description('show or change the feature level: what controllers may store and do');
  if (name === 'condor') (await import('./condor.js')).addCondorCommands(program, exitWithError);
  else program.command('condor').description('submit files and match expressions of HTCondor');
}
