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
  latestCapabilities,
  noRequestedLevel,
  type Decision,
  type LevelDecisionInput,
  type RequestedLevel,
} from './decide.js';
export { RecordMigration } from './record-migration.js';
export { GracefulShutdown, type ShutdownDuties, type ShutdownPhase } from './graceful-shutdown.js';
