export {
  AdmissionQueue as Admission,
  type AdmissionLimits,
  type RejectedEntry as Away,
} from './admission.js';
export { FairQueue, type QueueEntry as Entry } from './fair-queue.js';
export {
  MinimumShares as Floors,
  maxStarvationS as longestWaitS,
  type WorkloadUsage as KindUse,
  type ShareDeficit as Owed,
} from './minimum-shares.js';
export { jainIndex as jain } from './fairness-index.js';
export { maxMinShares as maxMin, type Claim } from './max-min-fairness.js';
export { TokenBucket as Bucket, RateMeter as Meter } from './rate-limiter.js';
export {
  equalShare as alonePart,
  divideWrites as partsOf,
  type WriteShare as Parts,
  type WriteDemand as Wants,
} from './member-allocation.js';
export {
  isWorthWriting as differs,
  minMemberWrites as floorOf,
  workloadKey as kindName,
  maxNamedWorkloads as mostKinds,
  nextAllocation as nextPlan,
  allocatableWrites as wholeOf,
  fallbackWrites as withoutPlan,
} from './allocation.js';
export type {
  MemberDemand as Demand,
  WorkloadDemand as KindWant,
  MemberStatus as Member,
  WriteAllocation as Plan,
  MemberAllocation as PlanPart,
} from './allocation.js';
export {
  OverloadMonitor as Pressure,
  type ResourceLoad as Load,
  type OverloadSnapshot as Picture,
} from './overload.js';
export { RetryTickets as Tickets, type Rejection as Turned } from './retry-tickets.js';
export { teamWeights } from './weights.js';
export { DemandEstimates as Wishes } from './demand-estimates.js';
