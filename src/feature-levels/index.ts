/** Feature levels: what programs of different versions support in common, and how the level in force changes. Contains no I/O. */
export {
  capabilitiesOf,
  canParticipate,
  features,
  initialLevelState,
  FeatureLevels,
  newestLevel,
  legacyCapabilities,
} from './feature-levels.js';
export type { Capabilities, Feature, LevelState } from './feature-levels.js';
export {
  decideLevelChange,
  noRequestedLevel,
  type LevelDecision,
  type LevelDecisionInput,
  type RequestedLevel,
} from './level-decision.js';
export { MigrationPacer, type MigrationProgress } from './migration-pacer.js';
export { GracefulShutdown, type ShutdownDuties, type ShutdownPhase } from './graceful-shutdown.js';
