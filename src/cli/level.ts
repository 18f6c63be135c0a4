/** The commands with which operators look at the level in force, hold it, lower it, and name who is gone. */
import type { Command } from 'commander';
import { loadSettings, SettingsError } from '../config/settings.js';
import {
  levelKey,
  membersKey,
  readLevel,
  readMembers,
  readPresence,
  readRequestedLevel,
  requestedLevelData,
  requestedLevelKey,
} from '../core/storage/index.js';
import {
  initialLevelState,
  noRequestedLevel,
  type Capabilities,
  type LevelState,
  type RequestedLevel,
} from '../feature-levels/index.js';
import { Store } from '../state/store.js';
import type { Change } from '../wire/store.js';
import { exitCodes, type Fail } from './exit.js';
import { printLine } from './output.js';

interface LevelOptions {
  settings?: string;
  state?: string;
}

const requestTimeoutMs = 5000;
const pollIntervalMs = 500;

/** What is stored about the level, as operators see and change it. */
class LevelStore {
  private readonly store: Store;

  constructor(
    addr: string,
    private readonly fail: Fail,
  ) {
    this.store = new Store(addr, requestTimeoutMs);
  }

  private async listKeys(prefix: string): Promise<Change[]> {
    return (await this.store.list(prefix)) ?? this.fail('no answer from the state service');
  }

  private async readKey(key: string): Promise<Change | undefined> {
    return (await this.listKeys(key)).find((c) => c.key === key);
  }

  async level(): Promise<LevelState> {
    const c = await this.readKey(levelKey);
    return c ? readLevel(c.data, c.stamp) : initialLevelState;
  }

  async requestedLevel(): Promise<RequestedLevel> {
    const c = await this.readKey(requestedLevelKey);
    return c ? readRequestedLevel(c.data, c.stamp) : noRequestedLevel;
  }

  async members(): Promise<ReturnType<typeof readMembers>> {
    const c = await this.readKey(membersKey);
    return c ? readMembers(c.data) : { capabilities: new Map(), note: null };
  }

  async presentMembers(): Promise<Map<string, Capabilities>> {
    const nodes = await this.listKeys('dp/node/');
    return new Map(
      nodes.map((c) => [c.key.slice(8), readPresence(c.key.slice(8), c.data, c.stamp).capabilities]),
    );
  }

  /** Changes what is wanted; the revision of it. */
  async updateRequest(to: (now: RequestedLevel) => Partial<RequestedLevel>): Promise<number> {
    const now = await this.requestedLevel();
    const outcome = await this.store.commit({
      conditions: [{ key: requestedLevelKey, stamp: now.modRevision }],
      writes: [{ key: requestedLevelKey, data: requestedLevelData({ ...now, ...to(now) }) }],
    });
    if (outcome.type === 'ok') return outcome.epoch;
    return this.fail(
      outcome.type === 'conflict'
        ? 'somebody else has just changed it: look again'
        : `not written: ${outcome.type}`,
    );
  }
}

async function showLevel(store: LevelStore): Promise<void> {
  const [level, wish, members, present] = [
    await store.level(),
    await store.requestedLevel(),
    await store.members(),
    await store.presentMembers(),
  ];
  printLine(
    `level ${level.level}${level.writeLevel < level.level ? `, being lowered to ${level.writeLevel}` : ''}`,
  );
  if (wish.maxLevel !== null)
    printLine(`held at ${wish.maxLevel}${wish.lower ? ', to be lowered to it' : ''}`);
  if (wish.departedMembers.length > 0) printLine(`gone for good: ${wish.departedMembers.join(' ')}`);
  for (const [member, can] of new Map([...members.capabilities, ...present]))
    printLine(
      `${member.padEnd(16)} program ${can.program}, levels ${can.minLevel} to ${can.maxLevel}, ${present.has(member) ? 'here' : 'not here'}`,
    );
  if (members.note && members.note.wish === wish.modRevision) printLine(members.note.text);
}

/** Waits until the level is what was asked for, or the leader has said why it stays. */
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
  process.stderr.write('dapplepick: not lowered yet; it goes on: see `dapplepick level show`\n');
  process.exit(exitCodes.timedOut);
}

/** `dapplepick level`: what is in force, and what operators want of it. */
export function addLevelCommands(program: Command, fail: Fail): void {
  const level = program.command('level').description('the level in force: what controllers may store and do');
  const openStore = (options: LevelOptions): LevelStore => {
    if (options.state !== undefined) {
      if (!/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/.test(options.state))
        fail(`--state: expected IPv4:PORT, got ${options.state}`);
      return new LevelStore(options.state, fail);
    }
    if (options.settings === undefined) return fail('level: expected --settings FILE or --state ADDRESS');
    try {
      return new LevelStore(loadSettings(options.settings).endpoints.state, fail);
    } catch (e) {
      if (e instanceof SettingsError) fail(e.message);
      throw e;
    }
  };
  const parseLevel = (text: string): number => {
    const n = Number(text);
    return Number.isInteger(n) && n >= 1
      ? n
      : fail(`level: expected a whole number of at least 1, got ${text}`);
  };
  const command = (usage: string, description: string): Command =>
    level
      .command(usage)
      .description(description)
      .option('--settings <file>', "the platform's settings (TOML), for the state service's address")
      .option('--state <address>', "the state service's address, IPv4:PORT");
  command('show', 'what is in force, and what each member was last seen with').action((o: LevelOptions) =>
    showLevel(openStore(o)),
  );
  command('hold <level>', 'no level above this, until `level release`').action(
    async (n: string, o: LevelOptions) => {
      await openStore(o).updateRequest(() => ({ maxLevel: parseLevel(n), lower: false }));
      printLine(`held at ${n}`);
    },
  );
  command('release', 'whatever level all members have').action(async (o: LevelOptions) => {
    await openStore(o).updateRequest(() => ({ maxLevel: null, lower: false }));
    printLine('released');
  });
  command('lower <level>', 'go back to a level, as long as nothing stored needs more; it is held there')
    .option('--within <seconds>', 'how long to wait for it', '60')
    .action((n: string, o: LevelOptions & { within: string }) =>
      lowerLevel(openStore(o), parseLevel(n), Number(o.within)),
    );
  command('gone <member>', 'a member that will not come back: it is not waited for').action(
    async (member: string, o: LevelOptions) => {
      await openStore(o).updateRequest(({ departedMembers: gone }) => ({
        departedMembers: [...new Set([...gone, member])],
      }));
      printLine(`${member} is not waited for`);
    },
  );
  command('back <member>', 'a member named gone is waited for again').action(
    async (member: string, o: LevelOptions) => {
      await openStore(o).updateRequest(({ departedMembers: gone }) => ({
        departedMembers: gone.filter((m) => m !== member),
      }));
      printLine(`${member} is waited for`);
    },
  );
}
