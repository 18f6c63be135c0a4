/** The command `dapplepick level`: shows the feature level in force, and changes the operators' request. */
import type { Command } from 'commander';
import { loadSettings, SettingsError } from '../config/settings.js';
import { exitCodes, type Fail } from './exit.js';
import { LevelStore } from './level-store.js';
import { printLine } from './output.js';

interface LevelOptions {
  settings?: string;
  state?: string;
}

const pollIntervalMs = 500;

/** Prints the level in force, the operators' request, and the members. */
async function showLevel(store: LevelStore): Promise<void> {
  const [level, request, members, present] = [
    await store.level(),
    await store.requestedLevel(),
    await store.members(),
    await store.presentMembers(),
  ];
  printLine(
    `level ${level.level}${level.writeLevel < level.level ? `, being lowered to ${level.writeLevel}` : ''}`,
  );
  if (request.maxLevel !== null)
    printLine(`held at ${request.maxLevel}${request.lower ? ', to be lowered to it' : ''}`);
  if (request.departedMembers.length > 0) printLine(`permanently gone: ${request.departedMembers.join(' ')}`);
  for (const [member, capabilities] of new Map([...members.capabilities, ...present]))
    printLine(
      `${member.padEnd(16)} program ${capabilities.program}, levels ${capabilities.minLevel} to ${capabilities.maxLevel}, ${present.has(member) ? 'present' : 'not present'}`,
    );
  if (members.note && members.note.wish === request.modRevision) printLine(members.note.text);
}

/** Requests a lower level and waits until it is in force, or until the leader has noted why it refuses. */
async function lowerLevel(store: LevelStore, target: number, timeoutS: number): Promise<void> {
  const requestRevision = await store.updateRequest(() => ({ maxLevel: target, lower: true }));
  const deadline = performance.now() + timeoutS * 1000;
  while (performance.now() < deadline) {
    const level = await store.level();
    if (level.level <= target) return printLine(`level ${level.level}`);
    const { note } = await store.members();
    if (note?.wish === requestRevision) {
      process.stderr.write(`dapplepick: ${note.text}\n`);
      process.exit(exitCodes.refused);
    }
    await new Promise((resolve) => setTimeout(resolve, pollIntervalMs));
  }
  process.stderr.write('dapplepick: not lowered yet, still in progress: see `dapplepick level show`\n');
  process.exit(exitCodes.timedOut);
}

/** Opens the state service that the options name; ends the program if they name none. */
function openStore(options: LevelOptions, fail: Fail): LevelStore {
  if (options.state !== undefined) {
    if (!/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/.test(options.state))
      fail(`--state: expected IPv4:PORT, got ${options.state}`);
    return new LevelStore(options.state, fail);
  }
  if (options.settings === undefined) return fail('level: expected --settings FILE or --state ADDRESS');
  try {
    return new LevelStore(loadSettings(options.settings).endpoints.state, fail);
  } catch (error) {
    if (error instanceof SettingsError) fail(error.message);
    throw error;
  }
}

function parseLevel(text: string, fail: Fail): number {
  const level = Number(text);
  return Number.isInteger(level) && level >= 1
    ? level
    : fail(`level: expected a whole number of at least 1, got ${text}`);
}

/** Registers `level` and its subcommands. */
export function addLevelCommands(program: Command, fail: Fail): void {
  const level = program
    .command('level')
    .description('show or change the feature level: what controllers may store and do');
  const command = (usage: string, description: string): Command =>
    level
      .command(usage)
      .description(description)
      .option(
        '--settings <file>',
        "the platform's settings (TOML), which contain the state service's address",
      )
      .option('--state <address>', "the state service's address, IPv4:PORT");
  command('show', 'show the level in force and the last known program and levels of each member').action(
    (options: LevelOptions) => showLevel(openStore(options, fail)),
  );
  addRequestCommands(command, fail);
  addMemberCommands(command, fail);
}

type AddCommand = (usage: string, description: string) => Command;

/** Registers the subcommands that request a level. */
function addRequestCommands(command: AddCommand, fail: Fail): void {
  command('hold <level>', 'allow no level above this one until `level release`').action(
    async (text: string, options: LevelOptions) => {
      await openStore(options, fail).updateRequest(() => ({
        maxLevel: parseLevel(text, fail),
        lower: false,
      }));
      printLine(`held at ${text}`);
    },
  );
  command('release', 'allow any level that all members support').action(async (options: LevelOptions) => {
    await openStore(options, fail).updateRequest(() => ({ maxLevel: null, lower: false }));
    printLine('released');
  });
  command('lower <level>', 'go back to a level and hold it there, if no stored record needs a higher one')
    .option('--within <seconds>', 'how long to wait until it is lowered', '60')
    .action((text: string, options: LevelOptions & { within: string }) =>
      lowerLevel(openStore(options, fail), parseLevel(text, fail), Number(options.within)),
    );
}

/** Registers the subcommands for members that will not come back. */
function addMemberCommands(command: AddCommand, fail: Fail): void {
  command(
    'gone <member>',
    'declare that a member will not come back, so that it is no longer waited for',
  ).action(async (member: string, options: LevelOptions) => {
    await openStore(options, fail).updateRequest(({ departedMembers }) => ({
      departedMembers: [...new Set([...departedMembers, member])],
    }));
    printLine(`${member} is no longer waited for`);
  });
  command('back <member>', 'wait again for a member that was declared gone').action(
    async (member: string, options: LevelOptions) => {
      await openStore(options, fail).updateRequest(({ departedMembers }) => ({
        departedMembers: departedMembers.filter((name) => name !== member),
      }));
      printLine(`${member} is waited for again`);
    },
  );
}
