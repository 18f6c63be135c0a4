/** Recovery of a controller after its start: phases and durations that are reported to operators. */
export {
  phaseOf,
  RecoveryTracker,
  type RecoveryFacts,
  type RecoveryPhase,
  type RecoverySummary,
  type PhaseTransition,
} from './recovery.js';
