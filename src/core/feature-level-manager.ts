/** The leader's management of feature levels: records the capabilities of members, and raises or lowers the level in force. */
import type { Settings } from '../config/settings.js';
import {
  decideLevelChange,
  features,
  newestLevel,
  type Capabilities,
  type LevelDecision,
} from '../feature-levels/index.js';
import type { Write } from '../wire/store.js';
import type { Clock, Log } from './effects.js';
import type { Membership } from './membership/index.js';
import { leaderPlaceholder } from './recovery-records.js';
import type { Replica } from './replica.js';
import {
  leaderKey,
  legacyLeaderKey,
  legacyMachineTypesKey,
  levelData,
  levelKey,
  machineTypesData,
  machineTypesKey,
  membersData,
  membersKey,
  presenceKey,
  WritePriority,
  requestedLevelKey,
  type TransactionBatcher,
  type LevelNote,
} from './storage/index.js';

/** How many times per state lease the level is checked. */
const checksPerLease = 8;

/** From this level on, the leader record and the machine types are stored at other keys. */
const keysMovedAtLevel = features['barred-lead'].level;

/** A decision as text, for comparison. */
const decisionText = (decision: LevelDecision): string =>
  JSON.stringify(decision, (_, value: unknown) =>
    value instanceof Map ? [...(value as Map<string, unknown>)] : value,
  );

/** The dependencies and settings of the manager. */
export interface FeatureLevelManagerOptions {
  readonly settings: Settings;
  readonly replica: Replica;
  readonly batcher: TransactionBatcher;
  readonly membership: Membership;
  readonly clock: Clock;
  readonly stateLeaseMs: number;
  readonly log: Log;
}

/**
 * Carries out the decisions of `decide`. Every write is conditional on the leader record, the level, the recorded capabilities,
 * the presence records of members and the requested level being unchanged since the decision.
 */
export class FeatureLevelManager {
  private checkedAt = -Infinity;
  private writeInFlight = false;
  private loggedReason = '';

  constructor(private readonly options: FeatureLevelManagerOptions) {}

  /** To be called by the leader on every tick: checks the level if a check is due, and makes the next change to it. */
  tick(): void {
    const { replica, clock, stateLeaseMs } = this.options;
    if (this.writeInFlight || clock.now - this.checkedAt < stateLeaseMs / checksPerLease) return;
    // Until the watch has delivered the last level change, a record written just before it may be unseen: the level must not be
    // lowered then.
    if (replica.watchRevision < replica.levels.state.modRevision) return;
    this.checkedAt = clock.now;
    this.carryOut(this.decide());
  }

  private carryOut(decision: LevelDecision): void {
    const { replica } = this.options;
    switch (decision.type) {
      case 'stay':
        return this.logReason(decision.why);
      case 'record-capabilities':
        return this.commit('member capabilities recorded', decision, () => [
          this.membersWrite(decision.capabilities, replica.members.note),
        ]);
      case 'refuse':
        return this.refuse(decision.text);
      case 'raise':
        return this.commit('level raised', decision, () => [
          ...this.levelWrites(decision.to, decision.to),
          this.membersWrite(decision.capabilities, null),
        ]);
      case 'begin-lowering':
        return this.commit('level is being lowered', decision, () =>
          this.levelWrites(replica.levels.state.level, decision.to),
        );
      case 'lower':
        return this.commit('level lowered', decision, () => this.levelWrites(decision.to, decision.to));
    }
  }

  private decide(): LevelDecision {
    const { replica } = this.options;
    return decideLevelChange({
      state: replica.levels.state,
      newestLevel: Math.min(newestLevel, replica.levels.ownCapabilities.maxLevel),
      configuredMembers: this.requiredMembers(),
      recordedCapabilities: replica.members.capabilities,
      observedCapabilities: replica.observedCapabilities,
      requested: replica.requestedLevel,
      unmigratedRecords: this.unmigratedRecords(),
      blockingKeys: [...replica.unreadableRecords.keys(), ...replica.keysWithUnknownFields],
    });
  }

  /** How many stored records cannot be expressed at the level that is being lowered to. */
  private unmigratedRecords(): number {
    const { replica } = this.options;
    const { writeLevel } = replica.levels.state;
    if (writeLevel >= features['task-log'].level) return 0;
    const logged = replica.taskLog.size + replica.checkpointCount;
    return writeLevel >= features['small-jobs'].level ? logged : logged + replica.jobsWithInlineTasks.size;
  }

  /**
   * The members that must support a level before it is raised: all that are configured or present. In a pool, where members share
   * nothing but the state service and none is configured, also all that were ever seen.
   */
  private requiredMembers(): string[] {
    const { settings, replica } = this.options;
    const everSeen = settings.pool ? replica.members.capabilities.keys() : [];
    const peers = settings.peers.map((p) => p.member);
    return [...new Set([settings.member, ...peers, ...replica.presences.keys(), ...everSeen])];
  }

  private logReason(why: string): void {
    if (why === this.loggedReason || why === '') return;
    this.loggedReason = why;
    const { log, replica } = this.options;
    log('info', 'level stays', { level: replica.levels.state.level, why });
  }

  /** Logs and stores for operators, once, why their request is refused. */
  private refuse(text: string): void {
    const { replica, log } = this.options;
    const { note, capabilities } = replica.members;
    const { modRevision } = replica.requestedLevel;
    if (note?.wish === modRevision && note.text === text) return;
    log('warn', text, { level: replica.levels.state.level });
    this.commit('refusal of the requested level recorded', { type: 'refuse', text }, () => [
      this.membersWrite(capabilities, { wish: modRevision, text }),
    ]);
  }

  private membersWrite(capabilities: ReadonlyMap<string, Capabilities>, note: LevelNote | null): Write {
    return { key: membersKey, data: membersData(capabilities, note) };
  }

  /** The writes that change the level, and that move the leader record and the machine types to the keys of the new level. */
  private levelWrites(level: number, writeLevel: number): Write[] {
    const { replica } = this.options;
    const writes: Write[] = [{ key: levelKey, data: levelData(level, writeLevel) }];
    const isMoved = replica.levels.state.level >= keysMovedAtLevel;
    const toBeMoved = level >= keysMovedAtLevel;
    if (toBeMoved === isMoved) return writes;
    writes.push(...(toBeMoved ? this.moveKeys() : this.moveKeysBack()));
    // A key that does not exist cannot be deleted.
    return writes.filter((w) => w.data !== undefined || replica.modRevisionOf(w.key) > 0);
  }

  /** Programs without levels see a leader at the old key that never gives up leadership, so they do not become leader. */
  private moveKeys(): Write[] {
    return [
      { key: legacyLeaderKey, data: { ...leaderPlaceholder } },
      this.leadershipWrite(leaderKey),
      { key: legacyMachineTypesKey, data: undefined },
      { key: machineTypesKey, data: this.storedMachineTypes() },
    ];
  }

  private moveKeysBack(): Write[] {
    return [
      this.leadershipWrite(legacyLeaderKey),
      { key: leaderKey, data: undefined },
      { key: legacyMachineTypesKey, data: this.storedMachineTypes() },
      { key: machineTypesKey, data: undefined },
    ];
  }

  private leadershipWrite(key: string): Write {
    const { settings, membership } = this.options;
    const data = { member: settings.member, run: membership.instanceId };
    return { key, data, hold: membership.leaseId ?? undefined };
  }

  private storedMachineTypes(): Write['data'] {
    const { machineTypes } = this.options.replica;
    return machineTypes.length > 0 ? machineTypesData(machineTypes) : undefined;
  }

  private commit(message: string, decision: LevelDecision, build: () => Write[]): void {
    const { replica, membership, batcher } = this.options;
    const text = decisionText(decision);
    this.writeInFlight = true;
    const finish = (): void => void (this.writeInFlight = false);
    batcher.enqueue({
      priority: WritePriority.membership,
      build: () => {
        // Decide again: the situation may have changed while the write was queued.
        const isUnchanged = membership.isLeader && decisionText(this.decide()) === text;
        // A leader record without a lease would never expire, so nobody could take over leadership.
        if (!isUnchanged || membership.leaseId === null) {
          finish();
          return null;
        }
        const writes = build();
        const keys = new Set([...this.decidingKeys(), ...writes.map((w) => w.key)]);
        return {
          conditions: [...keys].map((key) => ({ key, stamp: replica.modRevisionOf(key) })),
          writes,
        };
      },
      onCommitted: () => {
        finish();
        this.loggedReason = '';
        this.logLevel(message);
      },
      onConflict: finish,
    });
  }

  /** The keys of the records that a decision depends on. */
  private decidingKeys(): string[] {
    const members = this.requiredMembers().map(presenceKey);
    return [this.options.replica.activeLeaderKey, levelKey, membersKey, requestedLevelKey, ...members];
  }

  private logLevel(message: string): void {
    const { replica, log } = this.options;
    const { level, writeLevel, modRevision } = replica.levels.state;
    const maxLevels = [...replica.members.capabilities].map(([member, c]) => [member, c.maxLevel]);
    const can = Object.fromEntries(maxLevels) as Record<string, number>;
    log('info', message, { level, write: writeLevel, stamp: modRevision, can });
  }
}
