export { abilityOf, admits, features, firstLevel, Levels, newestLevel, unaware } from './levels.js';
export type { Ability, Feature, LevelState } from './levels.js';
export { decide, lastSeen, noWish, type Decision, type Standing, type Wish } from './decide.js';
export { Sweep } from './sweep.js';
export { Leaving, type Duties, type Phase } from './leaving.js';
