export { AdmissionQueue, type AdmissionLimits, type RejectedEntry } from './admission.js';
export { FairQueue, type QueueEntry } from './fair-queue.js';
export { MinimumShares, maxStarvationS, type WorkloadUsage, type ShareDeficit } from './minimum-shares.js';
export { jainIndex } from './fairness-index.js';
export { maxMinShares, type Claim } from './max-min-fairness.js';
export { TokenBucket, RateMeter } from './rate-limiter.js';
export { equalShare, divideWrites, type WriteShare, type WriteDemand } from './member-allocation.js';
export {
  isWorthWriting,
  minMemberWrites,
  workloadKey,
  maxNamedWorkloads,
  nextAllocation,
  allocatableWrites,
  fallbackWrites,
} from './allocation.js';
export type {
  MemberDemand,
  WorkloadDemand,
  MemberStatus,
  WriteAllocation,
  MemberAllocation,
} from './allocation.js';
export { OverloadMonitor, type ResourceLoad, type OverloadSnapshot } from './overload.js';
export { RetryTickets, type Rejection } from './retry-tickets.js';
export { teamWeights } from './weights.js';
export { DemandEstimates } from './demand-estimates.js';
