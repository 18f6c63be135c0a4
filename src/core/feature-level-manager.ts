/** The leader's care for the level in force. */
import type { Settings } from '../config/settings.js';
import {
  decide,
  features,
  newestLevel,
  type Capabilities,
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
import type { Membership } from './membership/index.js';
import type { Replica } from './replica.js';

/** Looks, in a state lease. */
const checksPerLease = 8;

const decisionText = (d: Decision): string =>
  JSON.stringify(d, (_, x: unknown) => (x instanceof Map ? [...(x as Map<string, unknown>)] : x));

/**
 * The leader's care for the level: carries out what `decide` says, on condition that leadership, level, what members were last
 * seen with, who is present and what operators want have not changed meanwhile.
 */
export class FeatureLevelManager {
  private checkedAt = -Infinity;
  private writeInFlight = false;
  private loggedReason = '';

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
    if (this.writeInFlight || now - this.checkedAt < this.ttlMs / checksPerLease) return;
    // Guards against lowering while a record that was written just before the level changed has not been seen yet.
    if (this.replica.watchRevision < this.replica.levels.state.modRevision) return;
    this.checkedAt = now;
    const decision = this.decide();
    switch (decision.do) {
      case 'stay':
        this.logReason(decision.why);
        break;
      case 'note':
        this.commitDecision('what members can do', decision, () => [
          this.membersWrite(decision.seen, this.replica.members.note),
        ]);
        break;
      case 'refuse':
        this.refuse(decision.text);
        break;
      case 'raise':
        this.commitDecision('level raised', decision, () => [
          ...this.levelWrites(decision.to, decision.to),
          this.membersWrite(decision.seen, null),
        ]);
        break;
      case 'begin lowering':
        this.commitDecision('level is being lowered', decision, () =>
          this.levelWrites(this.replica.levels.state.level, decision.to),
        );
        break;
      case 'lower':
        this.commitDecision('level lowered', decision, () => this.levelWrites(decision.to, decision.to));
        break;
    }
  }

  private decide(): Decision {
    const { replica } = this;
    const configured = this.requiredMembers();
    return decide({
      state: replica.levels.state,
      newestLevel: Math.min(newestLevel, replica.levels.ownCapabilities.maxLevel),
      configured,
      recordedCapabilities: replica.members.capabilities,
      observedCapabilities: replica.observedCapabilities,
      requested: replica.requestedLevel,
      unmigratedRecords: this.unmigratedRecords(),
      blockingKeys: [...replica.unreadableRecords.keys(), ...replica.keysWithUnknownFields],
    });
  }

  /** Records that the level to be gone back to cannot read. */
  private unmigratedRecords(): number {
    const { replica } = this;
    const { writeLevel: write } = replica.levels.state;
    if (write >= features['task-log'].level) return 0;
    const logged = replica.taskLog.size + replica.checkpointCount;
    return write >= features['small-jobs'].level ? logged : logged + replica.jobsWithInlineTasks.size;
  }

  /**
   * Whom a rise waits for: everybody that is configured or here. Where members share nothing but a store, nobody is
   * configured, so it is everybody that was ever seen.
   */
  private requiredMembers(): string[] {
    const { settings, replica } = this;
    const ever = settings.pool ? replica.members.capabilities.keys() : [];
    const peers = settings.peers.map((p) => p.member);
    return [...new Set([settings.member, ...peers, ...replica.presences.keys(), ...ever])];
  }

  private logReason(why: string): void {
    if (why === this.loggedReason || why === '') return;
    this.loggedReason = why;
    this.log('info', 'level stays', { level: this.replica.levels.state.level, why });
  }

  private refuse(text: string): void {
    const { note, capabilities: seen } = this.replica.members;
    const { modRevision: stamp } = this.replica.requestedLevel;
    if (note?.wish === stamp && note.text === text) return;
    this.log('warn', text, { level: this.replica.levels.state.level });
    this.commitDecision('refusal', { do: 'refuse', text }, () => [
      this.membersWrite(seen, { wish: stamp, text }),
    ]);
  }

  private membersWrite(seen: ReadonlyMap<string, Capabilities>, note: LevelNote | null): Write {
    return { key: membersKey, data: membersData(seen, note) };
  }

  /** Another level; where leadership and machine types are kept goes with it. */
  private levelWrites(level: number, write: number): Write[] {
    const { replica, membership, settings } = this;
    const before: LevelState = replica.levels.state;
    const apply: Write[] = [{ key: levelKey, data: levelData(level, write) }];
    const was = before.level >= 2;
    const is = level >= 2;
    if (was === is) return apply;
    const mine = { member: settings.member, run: membership.instanceId };
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
    return apply.filter((w) => w.data !== undefined || replica.modRevisionOf(w.key) > 0);
  }

  private commitDecision(what: string, decision: Decision, build: () => Write[]): void {
    const { replica } = this;
    const text = decisionText(decision);
    this.writeInFlight = true;
    const done = (): void => void (this.writeInFlight = false);
    this.batcher.enqueue({
      priority: Rank.membership,
      build: () => {
        // Looked at again: it may have waited.
        const again = this.membership.isLeader ? decisionText(this.decide()) : '';
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
          ...this.requiredMembers().map(presenceKey),
        ]);
        for (const w of apply) keys.add(w.key);
        return {
          conditions: [...keys].map((key) => ({ key, stamp: replica.modRevisionOf(key) })),
          writes: apply,
        };
      },
      onCommitted: () => {
        done();
        this.loggedReason = '';
        const { level, writeLevel, modRevision } = replica.levels.state;
        this.log('info', what, {
          level,
          write: writeLevel,
          stamp: modRevision,
          can: Object.fromEntries([...replica.members.capabilities].map(([m, c]) => [m, c.maxLevel])),
        });
      },
      onConflict: done,
    });
  }
}
