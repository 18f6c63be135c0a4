/** FeatureLevels: what needs which, what a program can do, and what is in force. */
import { formats } from '../formats/index.js';

/** What a program can do, as its presence tells. */
export interface Capabilities {
  program: string;
  /** The levels at which it takes part. */
  minLevel: number;
  maxLevel: number;
  features: string[];
  /** The newest format of each kind of record that has more than one. */
  formats: Record<string, number>;
}

/** The newest level that this program knows. */
export const newestLevel = 5;

/** Of a program whose presence tells nothing: it was written before there were levels. */
export const legacyCapabilities: Capabilities = {
  program: 'before levels',
  minLevel: 1,
  maxLevel: 1,
  features: [],
  formats: {},
};

/** What needs a level. Whoever wants to know whether something is in force asks `FeatureLevels.has`. */
export const features = {
  /** Small jobs keep the state of their tasks in their own record. */
  'small-jobs': { level: 2, stays: false },
  /** Leadership and machine types are where programs that know no levels neither see nor take them. */
  'barred-lead': { level: 2, stays: true },
  /** Who may write how much is a stored plan; nothing else that is stored is new. */
  'admission-plan': { level: 3, stays: false },
  /** The state says which incarnation it is, and every write is on condition that it still is that one. */
  incarnations: { level: 4, stays: true },
  /** Placements and ends of many jobs may be in one record, which others follow. */
  'task-log': { level: 5, stays: false },
} as const satisfies Record<
  string,
  { level: number; /** Until the level is left, also while it is lowered. */ stays: boolean }
>;

export type Feature = keyof typeof features;

export const capabilitiesOf = (program: string, maxAllowed = 0): Capabilities => {
  const most = maxAllowed > 0 ? Math.min(maxAllowed, newestLevel) : newestLevel;
  const has = Object.entries(features).filter(([, f]) => f.level <= most);
  const several = Object.entries(formats).filter(([, list]) => list.length > 1);
  const newest = Object.fromEntries(several.map(([kind, list]) => [kind, list.length]));
  return { program, minLevel: 1, maxLevel: most, features: has.map(([name]) => name), formats: newest };
};

/** The durable level. */
export interface LevelState {
  /** What is stored may need it: programs that do not know it stand by. */
  level: number;
  /** What is written needs no more than this; below the level while that is being lowered. */
  writeLevel: number;
  /** The revision that brought it: every write is on condition that it is unchanged. */
  modRevision: number;
}

export const initialLevelState: LevelState = { level: 1, writeLevel: 1, modRevision: 0 };

/** What is in force, seen by one program. */
export class FeatureLevels {
  state: LevelState = initialLevelState;
  /** The level's record cannot be read: nobody knows what is in force. */
  unreadable = false;

  constructor(readonly ownCapabilities: Capabilities) {}

  isEnabled(feature: Feature): boolean {
    const f = features[feature];
    return (f.stays ? this.state.level : this.state.writeLevel) >= f.level;
  }

  /** This program is older than what is in force: it must neither act nor write. */
  get mustStandBy(): boolean {
    return this.unreadable || !canParticipate(this.state, this.ownCapabilities);
  }
}

/** Whether a program may take part. */
export const canParticipate = (state: LevelState, capabilities: Capabilities): boolean =>
  capabilities.maxLevel >= state.level && capabilities.minLevel <= state.writeLevel;
