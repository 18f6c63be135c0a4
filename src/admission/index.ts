/** Admission control, overload control and fair sharing of scarce resources. */
export { AdmissionQueue, type AdmissionLimits, type RejectedEntry } from './admission.js';
export {
  allocatableWrites,
  fallbackWrites,
  isWorthWriting,
  minMemberWrites,
  nextAllocation,
  type MemberAllocation,
  type MemberDemand,
  type MemberStatus,
  type WriteAllocation,
} from './allocation.js';
export { DemandEstimates } from './demand-estimates.js';
export { FairQueue, type QueueEntry } from './fair-queue.js';
export { jainIndex } from './fairness-index.js';
export { maxMinShares, type ShareClaim } from './max-min-fairness.js';
export { divideWrites, equalShare, type WriteDemand, type WriteShare } from './member-allocation.js';
export { maxStarvationS, MinimumShares, type ShareDeficit, type WorkloadUsage } from './minimum-shares.js';
export { OverloadMonitor, type OverloadSnapshot, type ResourceLoad } from './overload.js';
export { RateMeter, TokenBucket } from './rate-limiter.js';
export { RejectionTracker, type Rejection } from './rejection-tracker.js';
export { teamWeights } from './weights.js';
export { maxNamedWorkloads, workloadKey, type WorkloadDemand } from './workloads.js';
