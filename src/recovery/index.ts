export {
  phaseOf,
  RecoveryTracker as Recovery,
  type RecoveryFacts as Facts,
  type RecoveryPhase as Phase,
  type RecoverySummary as Recovered,
  type PhaseTransition as Transition,
} from './recovery.js';
