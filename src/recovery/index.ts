export {
  phaseOf,
  RecoveryTracker,
  type RecoveryFacts,
  type RecoveryPhase,
  type RecoverySummary,
  type PhaseTransition,
} from './recovery.js';
