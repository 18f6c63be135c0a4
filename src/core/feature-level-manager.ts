/** The leader's care for the level in force. */
import type { Settings } from '../config/settings.js';
import {
  decide,
  features,
  newestLevel,
  type Ability,
  type Decision,
  type LevelState,
} from '../feature-levels/index.js';
import type { Write } from '../wire/store.js';
import {
  leaderKey,
  type Committer,
  machineTypesKey,
  legacyLeaderKey,
  levelData,
  levelKey,
  type LevelNote,
  membersData,
  membersKey,
  presenceKey,
  Rank,
  machineTypesData,
  legacyMachineTypesKey,
  requestedLevelKey,
} from './storage/index.js';
import type { Clock, Log } from './effects.js';
import { leaderPlaceholder } from './recovery-records.js';
import type { Membership } from './membership.js';
import type { Replica } from './replica.js';

/** Looks, in a state lease. */
const looksPerLease = 8;

const textOf = (d: Decision): string =>
  JSON.stringify(d, (_, x: unknown) => (x instanceof Map ? [...(x as Map<string, unknown>)] : x));

/**
 * The leader's care for the level: carries out what `decide` says, on condition that leadership, level, what members were last
 * seen with, who is present and what operators want have not changed meanwhile.
 */
export class Upgrade {
  private lookedAt = -Infinity;
  private busy = false;
  private said = '';

  constructor(
    private readonly settings: Settings,
    private readonly replica: Replica,
    private readonly batcher: Committer,
    private readonly membership: Membership,
    private readonly clock: Clock,
    private readonly ttlMs: number,
    private readonly log: Log,
  ) {}

  tick(): void {
    const { now } = this.clock;
    if (this.busy || now - this.lookedAt < this.ttlMs / looksPerLease) return;
    // Guards against lowering while a record that was written just before the level changed has not been seen yet.
    if (this.replica.watchRevision < this.replica.levels.state.stamp) return;
    this.lookedAt = now;
    const d = this.decide();
    switch (d.do) {
      case 'stay':
        this.say(d.why);
        break;
      case 'note':
        this.write('what members can do', d, () => [this.members(d.seen, this.replica.members.note)]);
        break;
      case 'refuse':
        this.refuse(d.text);
        break;
      case 'raise':
        this.write('level raised', d, () => [...this.move(d.to, d.to), this.members(d.seen, null)]);
        break;
      case 'begin lowering':
        this.write('level is being lowered', d, () => this.move(this.replica.levels.state.level, d.to));
        break;
      case 'lower':
        this.write('level lowered', d, () => this.move(d.to, d.to));
        break;
    }
  }

  private decide(): Decision {
    const { replica } = this;
    const configured = this.counted();
    return decide({
      state: replica.levels.state,
      newest: Math.min(newestLevel, replica.levels.mine.most),
      configured,
      seen: replica.members.capabilities,
      witnessed: replica.observedCapabilities,
      wish: replica.wish,
      newer: this.newerRecords(),
      stuck: [...replica.unreadableRecords.keys(), ...replica.keysWithUnknownFields],
    });
  }

  /** Records that the level to be gone back to cannot read. */
  private newerRecords(): number {
    const { replica } = this;
    const { write } = replica.levels.state;
    if (write >= features['task-log'].level) return 0;
    const logged = replica.taskLog.size + replica.checkpointCount;
    return write >= features['small-jobs'].level ? logged : logged + replica.jobsWithInlineTasks.size;
  }

  /**
   * Whom a rise waits for: everybody that is configured or here. Where members share nothing but a store, nobody is
   * configured, so it is everybody that was ever seen.
   */
  private counted(): string[] {
    const { settings, replica } = this;
    const ever = settings.pool ? replica.members.capabilities.keys() : [];
    const peers = settings.peers.map((p) => p.member);
    return [...new Set([settings.member, ...peers, ...replica.nodes.keys(), ...ever])];
  }

  private say(why: string): void {
    if (why === this.said || why === '') return;
    this.said = why;
    this.log('info', 'level stays', { level: this.replica.levels.state.level, why });
  }

  private refuse(text: string): void {
    const { note, capabilities: seen } = this.replica.members;
    const { stamp } = this.replica.wish;
    if (note?.wish === stamp && note.text === text) return;
    this.log('warn', text, { level: this.replica.levels.state.level });
    this.write('refusal', { do: 'refuse', text }, () => [this.members(seen, { wish: stamp, text })]);
  }

  private members(seen: ReadonlyMap<string, Ability>, note: LevelNote | null): Write {
    return { key: membersKey, data: membersData(seen, note) };
  }

  /** Another level; where leadership and machine types are kept goes with it. */
  private move(level: number, write: number): Write[] {
    const { replica, membership, settings } = this;
    const before: LevelState = replica.levels.state;
    const apply: Write[] = [{ key: levelKey, data: levelData(level, write) }];
    const was = before.level >= 2;
    const is = level >= 2;
    if (was === is) return apply;
    const mine = { member: settings.member, run: membership.run };
    const hold = membership.leaseId ?? undefined;
    const types = replica.machineTypes.length > 0 ? machineTypesData(replica.machineTypes) : undefined;
    if (is)
      apply.push(
        { key: legacyLeaderKey, data: { ...leaderPlaceholder } },
        { key: leaderKey, data: mine, hold },
        { key: legacyMachineTypesKey, data: undefined },
        { key: machineTypesKey, data: types },
      );
    else
      apply.push(
        { key: legacyLeaderKey, data: mine, hold },
        { key: leaderKey, data: undefined },
        { key: legacyMachineTypesKey, data: types },
        { key: machineTypesKey, data: undefined },
      );
    // A key that is not there cannot be dropped.
    return apply.filter((w) => w.data !== undefined || replica.stampOf(w.key) > 0);
  }

  private write(what: string, decision: Decision, build: () => Write[]): void {
    const { replica } = this;
    const text = textOf(decision);
    this.busy = true;
    const done = (): void => void (this.busy = false);
    this.batcher.enqueue({
      priority: Rank.membership,
      build: () => {
        // Looked at again: it may have waited.
        const again = this.membership.isLeader ? textOf(this.decide()) : '';
        // Guards against a leadership without a lease, which nobody could ever take over.
        if (again !== text || this.membership.leaseId === null) {
          done();
          return null;
        }
        const apply = build();
        const keys = new Set([
          replica.activeLeaderKey,
          levelKey,
          membersKey,
          requestedLevelKey,
          ...this.counted().map(presenceKey),
        ]);
        for (const w of apply) keys.add(w.key);
        return { conditions: [...keys].map((key) => ({ key, stamp: replica.stampOf(key) })), writes: apply };
      },
      onCommitted: () => {
        done();
        this.said = '';
        this.log('info', what, {
          ...replica.levels.state,
          can: Object.fromEntries([...replica.members.capabilities].map(([m, c]) => [m, c.most])),
        });
      },
      onConflict: done,
    });
  }
}
