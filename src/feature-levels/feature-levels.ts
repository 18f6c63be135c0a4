/** Feature levels: which feature needs which level, what a program can do, and what is in force. */
import { formats } from '../formats/index.js';

/** What a program can do, as its member's presence says. */
export interface Capabilities {
  readonly program: string;
  /** The levels at which it can participate. */
  readonly minLevel: number;
  readonly maxLevel: number;
  readonly features: readonly string[];
  /** The newest format of each kind of record that has more than one. */
  readonly formats: Readonly<Record<string, number>>;
}

/** The newest level that this program knows. */
export const newestLevel = 5;

/** Of a program whose presence says nothing: it is from before there were levels. */
export const legacyCapabilities: Capabilities = {
  program: 'before levels',
  minLevel: 1,
  maxLevel: 1,
  features: [],
  formats: {},
};

interface FeatureRequirement {
  /** The level from which on the feature is used. */
  readonly level: number;
  /** Whether it is still used while that level is being lowered, until the level has been left. */
  readonly usedWhileLowering: boolean;
}

/** What needs a level. Whether a feature is in force says `FeatureLevels.isEnabled`. The names are stored in presences. */
export const features = {
  /** Small jobs keep the state of their tasks in their own record. */
  'small-jobs': { level: 2, usedWhileLowering: false },
  /** Leadership and machine types are at keys that programs without levels neither read nor write. */
  'barred-lead': { level: 2, usedWhileLowering: true },
  /** The division of the state service's writes among controllers is stored. */
  'admission-plan': { level: 3, usedWhileLowering: false },
  /** The state names its incarnation, and every write is on condition that it is unchanged. */
  incarnations: { level: 4, usedWhileLowering: true },
  /** Placements and completions of many jobs may be in one record, which other controllers follow. */
  'task-log': { level: 5, usedWhileLowering: false },
} as const satisfies Record<string, FeatureRequirement>;

/** A feature that needs a level. */
export type Feature = keyof typeof features;

/** The capabilities of this program; `maxAllowed`: the highest level that operators allow it, 0 for no limit. */
export function capabilitiesOf(program: string, maxAllowed = 0): Capabilities {
  const maxLevel = maxAllowed > 0 ? Math.min(maxAllowed, newestLevel) : newestLevel;
  const available = Object.entries(features).filter(([, feature]) => feature.level <= maxLevel);
  const versioned = Object.entries(formats).filter(([, versions]) => versions.length > 1);
  return {
    program,
    minLevel: 1,
    maxLevel,
    features: available.map(([name]) => name),
    formats: Object.fromEntries(versioned.map(([kind, versions]) => [kind, versions.length])),
  };
}

/** The level that is stored. */
export interface LevelState {
  /** What is stored may need this level: programs that do not know it stand by. */
  readonly level: number;
  /** What is written needs no more than this level; below the other while that is being lowered. */
  readonly writeLevel: number;
  /** The revision at which it was written: every write is on condition that it is unchanged. */
  readonly modRevision: number;
}

/** The level of a state that has no record of it. */
export const initialLevelState: LevelState = { level: 1, writeLevel: 1, modRevision: 0 };

/** The level in force, as one program follows it. */
export class FeatureLevels {
  state: LevelState = initialLevelState;
  /** The level's record, or one that the level allowed, cannot be read: what is in force is unknown. */
  unreadable = false;

  constructor(readonly ownCapabilities: Capabilities) {}

  isEnabled(feature: Feature): boolean {
    const { level, usedWhileLowering } = features[feature];
    return (usedWhileLowering ? this.state.level : this.state.writeLevel) >= level;
  }

  /** Whether this program is older than what is in force: it must neither act nor write. */
  get mustStandBy(): boolean {
    return this.unreadable || !canParticipate(this.state, this.ownCapabilities);
  }
}

/** Whether a program may act and write at a level. */
export const canParticipate = (state: LevelState, capabilities: Capabilities): boolean =>
  capabilities.maxLevel >= state.level && capabilities.minLevel <= state.writeLevel;
