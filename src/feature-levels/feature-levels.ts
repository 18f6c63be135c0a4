/** Feature levels: which level each feature requires, what a program supports, and which features are in force. */
import { formats } from '../formats/index.js';

/** What a program supports, according to its member's presence record. */
export interface Capabilities {
  readonly program: string;
  /** The lowest level at which the program can participate. */
  readonly minLevel: number;
  /** The highest level at which the program can participate. */
  readonly maxLevel: number;
  readonly features: readonly string[];
  /** The newest format of each kind of record that has more than one. */
  readonly formats: Readonly<Record<string, number>>;
}

/** The newest level that this program knows. */
export const newestLevel = 5;

/** The capabilities of a program whose presence record states none: it is older than feature levels. */
export const legacyCapabilities: Capabilities = {
  program: 'before levels',
  minLevel: 1,
  maxLevel: 1,
  features: [],
  formats: {},
};

/** When a feature is used. */
interface FeatureRequirement {
  /** The lowest level at which the feature is used. */
  readonly level: number;
  /** Whether the feature stays in use while that level is being lowered, until the lowering is complete. */
  readonly usedWhileLowering: boolean;
}

/** The features that require a level; see `FeatureLevels.isEnabled`. Their names are stored in presence records. */
export const features = {
  /** The record of a small job contains the state of its tasks. */
  'small-jobs': { level: 2, usedWhileLowering: false },
  /** Leadership and machine types are stored under keys that programs without levels neither read nor write. */
  'barred-lead': { level: 2, usedWhileLowering: true },
  /** The allocation of the state service's writes to controllers is stored. */
  'admission-plan': { level: 3, usedWhileLowering: false },
  /** The state records its incarnation, and every write is conditional on that record being unchanged. */
  incarnations: { level: 4, usedWhileLowering: true },
  /** Placements and completions of many jobs may be stored in one record, which other controllers follow. */
  'task-log': { level: 5, usedWhileLowering: false },
} as const satisfies Record<string, FeatureRequirement>;

/** The name of a feature that requires a level. */
export type Feature = keyof typeof features;

/** Returns the capabilities of this program; `maxAllowed` is the highest level that operators allow it, 0 for no limit. */
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

/** The stored feature level. */
export interface LevelState {
  /** Stored records may require this level, so programs that do not support it stand by. */
  readonly level: number;
  /** Written records require no more than this level. It is below `level` while that is being lowered. */
  readonly writeLevel: number;
  /** The revision at which the level was written; every write is conditional on it being unchanged. */
  readonly modRevision: number;
}

/** The level of a state that has no level record. */
export const initialLevelState: LevelState = { level: 1, writeLevel: 1, modRevision: 0 };

/** The level in force as this process follows it. */
export class FeatureLevels {
  state: LevelState = initialLevelState;
  /** Whether the level record, or a record that the level allows, cannot be read, so that the level in force is unknown. */
  unreadable = false;

  constructor(readonly ownCapabilities: Capabilities) {}

  /** Whether a feature is in force. */
  isEnabled(feature: Feature): boolean {
    const { level, usedWhileLowering } = features[feature];
    return (usedWhileLowering ? this.state.level : this.state.writeLevel) >= level;
  }

  /** Whether this program does not support the level in force, so that it must neither act nor write. */
  get mustStandBy(): boolean {
    return this.unreadable || !canParticipate(this.state, this.ownCapabilities);
  }
}

/** Whether a program may act and write at a level. */
export const canParticipate = (state: LevelState, capabilities: Capabilities): boolean =>
  capabilities.maxLevel >= state.level && capabilities.minLevel <= state.writeLevel;
