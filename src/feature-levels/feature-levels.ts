/** Levels: what needs which, what a program can do, and what is in force. */
import { formats } from '../formats/index.js';

/** What a program can do, as its presence tells. */
export interface Ability {
  program: string;
  /** The levels at which it takes part. */
  least: number;
  most: number;
  features: string[];
  /** The newest format of each kind of record that has more than one. */
  formats: Record<string, number>;
}

/** The newest level that this program knows. */
export const newestLevel = 5;

/** Of a program whose presence tells nothing: it was written before there were levels. */
export const unaware: Ability = { program: 'before levels', least: 1, most: 1, features: [], formats: {} };

/** What needs a level. Whoever wants to know whether something is in force asks `Levels.has`. */
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

export const abilityOf = (program: string, mostAllowed = 0): Ability => {
  const most = mostAllowed > 0 ? Math.min(mostAllowed, newestLevel) : newestLevel;
  const has = Object.entries(features).filter(([, f]) => f.level <= most);
  const several = Object.entries(formats).filter(([, list]) => list.length > 1);
  const newest = Object.fromEntries(several.map(([kind, list]) => [kind, list.length]));
  return { program, least: 1, most, features: has.map(([name]) => name), formats: newest };
};

/** The durable level. */
export interface LevelState {
  /** What is stored may need it: programs that do not know it stand by. */
  level: number;
  /** What is written needs no more than this; below the level while that is being lowered. */
  write: number;
  /** The revision that brought it: every write is on condition that it is unchanged. */
  stamp: number;
}

export const firstLevel: LevelState = { level: 1, write: 1, stamp: 0 };

/** What is in force, seen by one program. */
export class Levels {
  state: LevelState = firstLevel;
  /** The level's record cannot be read: nobody knows what is in force. */
  unreadable = false;

  constructor(readonly mine: Ability) {}

  has(feature: Feature): boolean {
    const f = features[feature];
    return (f.stays ? this.state.level : this.state.write) >= f.level;
  }

  /** This program is older than what is in force: it must neither act nor write. */
  get standsBy(): boolean {
    return this.unreadable || !admits(this.state, this.mine);
  }
}

/** Whether a program may take part. */
export const admits = (state: LevelState, can: Ability): boolean =>
  can.most >= state.level && can.least <= state.write;
