/** The commands with which operators look at the level in force, hold it, lower it, and name who is gone. */
import type { Command } from 'commander';
import { loadSettings, SettingsError } from '../config/settings.js';
import {
  levelKey,
  membersKey,
  readMembers,
  readNode,
  readWish,
  wishData,
  wishKey,
} from '../core/storage/index.js';
import { firstLevel, noWish, type Ability, type LevelState, type Wish } from '../feature-levels/index.js';
import { Store } from '../state/store.js';
import type { Change } from '../wire/store.js';
import { exits } from './client.js';

type Fail = (message: string) => never;
interface Where {
  settings?: string;
  state?: string;
}

const timeoutMs = 5000;
const lookMs = 500;
const say = (text: string): void => void process.stdout.write(`${text}\n`);

/** What is stored about the level, as operators see and change it. */
class Stored {
  private readonly store: Store;

  constructor(
    addr: string,
    private readonly fail: Fail,
  ) {
    this.store = new Store(addr, timeoutMs);
  }

  private async list(starts: string): Promise<Change[]> {
    return (await this.store.list(starts)) ?? this.fail('no answer from the state service');
  }

  private async one(key: string): Promise<Change | undefined> {
    return (await this.list(key)).find((c) => c.key === key);
  }

  async level(): Promise<LevelState> {
    const c = await this.one(levelKey);
    return c ? { ...(c.data as LevelState), stamp: c.stamp } : firstLevel;
  }

  async wish(): Promise<Wish> {
    const c = await this.one(wishKey);
    return c ? readWish(c.data, c.stamp) : noWish;
  }

  async members(): Promise<ReturnType<typeof readMembers>> {
    const c = await this.one(membersKey);
    return c ? readMembers(c.data) : { capabilities: new Map(), note: null };
  }

  async present(): Promise<Map<string, Ability>> {
    const nodes = await this.list('dp/node/');
    return new Map(nodes.map((c) => [c.key.slice(8), readNode(c.key.slice(8), c.data, c.stamp).can]));
  }

  /** Changes what is wanted; the revision of it. */
  async change(to: (now: Wish) => Partial<Wish>): Promise<number> {
    const now = await this.wish();
    const o = await this.store.commit({
      when: [{ key: wishKey, stamp: now.stamp }],
      apply: [{ key: wishKey, data: wishData({ ...now, ...to(now) }) }],
    });
    if (o.type === 'ok') return o.epoch;
    return this.fail(
      o.type === 'conflict' ? 'somebody else has just changed it: look again' : `not written: ${o.type}`,
    );
  }
}

async function show(s: Stored): Promise<void> {
  const [level, wish, members, present] = [
    await s.level(),
    await s.wish(),
    await s.members(),
    await s.present(),
  ];
  say(`level ${level.level}${level.write < level.level ? `, being lowered to ${level.write}` : ''}`);
  if (wish.most !== null) say(`held at ${wish.most}${wish.lower ? ', to be lowered to it' : ''}`);
  if (wish.gone.length > 0) say(`gone for good: ${wish.gone.join(' ')}`);
  for (const [member, can] of new Map([...members.capabilities, ...present]))
    say(
      `${member.padEnd(16)} program ${can.program}, levels ${can.least} to ${can.most}, ${present.has(member) ? 'here' : 'not here'}`,
    );
  if (members.note && members.note.wish === wish.stamp) say(members.note.text);
}

/** Waits until the level is what was asked for, or the leader has said why it stays. */
async function lower(s: Stored, to: number, withinS: number): Promise<void> {
  const asked = await s.change(() => ({ most: to, lower: true }));
  const until = performance.now() + withinS * 1000;
  while (performance.now() < until) {
    const level = await s.level();
    if (level.level <= to) return say(`level ${level.level}`);
    const { note } = await s.members();
    if (note?.wish === asked) {
      process.stderr.write(`dapplepick: ${note.text}\n`);
      process.exit(exits.refused);
    }
    await new Promise((resolve) => setTimeout(resolve, lookMs));
  }
  process.stderr.write('dapplepick: not lowered yet; it goes on: see `dapplepick level show`\n');
  process.exit(exits.notInTime);
}

/** `dapplepick level`: what is in force, and what operators want of it. */
export function addLevelCommands(program: Command, fail: Fail): void {
  const level = program.command('level').description('the level in force: what controllers may store and do');
  const stored = (o: Where): Stored => {
    if (o.state !== undefined) {
      if (!/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/.test(o.state))
        fail(`--state: expected IPv4:PORT, got ${o.state}`);
      return new Stored(o.state, fail);
    }
    if (o.settings === undefined) return fail('level: expected --settings FILE or --state ADDRESS');
    try {
      return new Stored(loadSettings(o.settings).endpoints.state, fail);
    } catch (e) {
      if (e instanceof SettingsError) fail(e.message);
      throw e;
    }
  };
  const number = (text: string): number => {
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
  command('show', 'what is in force, and what each member was last seen with').action((o: Where) =>
    show(stored(o)),
  );
  command('hold <level>', 'no level above this, until `level release`').action(
    async (n: string, o: Where) => {
      await stored(o).change(() => ({ most: number(n), lower: false }));
      say(`held at ${n}`);
    },
  );
  command('release', 'whatever level all members have').action(async (o: Where) => {
    await stored(o).change(() => ({ most: null, lower: false }));
    say('released');
  });
  command('lower <level>', 'go back to a level, as long as nothing stored needs more; it is held there')
    .option('--within <seconds>', 'how long to wait for it', '60')
    .action((n: string, o: Where & { within: string }) => lower(stored(o), number(n), Number(o.within)));
  command('gone <member>', 'a member that will not come back: it is not waited for').action(
    async (member: string, o: Where) => {
      await stored(o).change(({ gone }) => ({ gone: [...new Set([...gone, member])] }));
      say(`${member} is not waited for`);
    },
  );
  command('back <member>', 'a member named gone is waited for again').action(
    async (member: string, o: Where) => {
      await stored(o).change(({ gone }) => ({ gone: gone.filter((m) => m !== member) }));
      say(`${member} is waited for`);
    },
  );
}
