export { abilityOf, admits, features, firstLevel, Levels, newestLevel, unaware } from './feature-levels.js';
export type { Ability, Feature, LevelState } from './feature-levels.js';
export { decide, lastSeen, noWish, type Decision, type Standing, type Wish } from './decide.js';
export { Sweep } from './record-migration.js';
export { Leaving, type Duties, type Phase } from './graceful-shutdown.js';
