/** Feature levels: what programs of different ages can do together, and how the level in force changes. Pure functions and state. */
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
  decide,
  noRequestedLevel,
  type Decision,
  type LevelDecisionInput,
  type RequestedLevel,
} from './decide.js';
export { RecordMigration, type MigrationProgress } from './record-migration.js';
export { GracefulShutdown, type ShutdownDuties, type ShutdownPhase } from './graceful-shutdown.js';
