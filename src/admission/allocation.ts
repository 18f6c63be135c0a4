/** Allocation of the write budget: how the leader calculates it, and how it changes without ever exceeding the budget. */
import { maxMinShares, sum } from './max-min-fairness.js';
import {
  allocatableShare,
  divideWrites,
  equalShare,
  type WriteDemand,
  type WriteShare,
} from './member-allocation.js';
import { divideAmongWorkloads, roundDown, type AdmissionShare } from './workload-division.js';
import type { WorkloadDemand } from './workloads.js';

/** The demand that a controller reports for the allocation. */
export interface MemberDemand extends WriteDemand {
  /** The workloads that wait for admission at the controller, largest first; empty while none has to wait. */
  readonly workloads: readonly WorkloadDemand[];
  /** The version of the allocation that the controller follows; 0: none. */
  readonly allocationVersion: number;
}

/** A controller's share of the write budget, in writes per second. */
export interface MemberAllocation extends WriteShare {
  /** The most that the controller may be using, under this allocation or an earlier one that it may still follow. */
  readonly maxInUse: number;
  /** The rates that weight the turns of teams (`workloadKey(team, '')`) and of their classes at the controller. */
  readonly workloadRates: ReadonlyMap<string, number>;
}

/** The allocation that all controllers follow. Stored as a record in the state service. */
export interface WriteAllocation {
  readonly version: number;
  readonly members: ReadonlyMap<string, MemberAllocation>;
}

/** What the leader knows of a controller. */
export interface MemberStatus {
  readonly name: string;
  /** Whether its presence record exists. */
  readonly isPresent: boolean;
  /** Whether its presence record has been missing for so long that it must have fallen back to its minimum. */
  readonly hasFallenBack: boolean;
  /** Its last report; null if there is no recent one. */
  readonly demand: MemberDemand | null;
}

/** The part of an equal share that each controller may use at any time, even if it knows of no recent allocation. */
const minEqualShare = 0.25;
/** Changes smaller than this part of an equal share are not written. */
const significantChangeShare = 0.1;

/** The writes per second that are allocated. */
export const allocatableWrites = (writesPerS: number): number => writesPerS * allocatableShare;

/** The minimum share: the writes per second that each controller may make at any time. */
export const minMemberWrites = (writesPerS: number, memberCount: number): number =>
  (allocatableWrites(writesPerS) / memberCount) * minEqualShare;

/**
 * The share of a controller that knows of no recent allocation: its minimum if one may be in force (`mayBeInForce`), else an
 * equal share. It depends on nothing else, and the fallback shares of all controllers together do not exceed the budget.
 */
export function fallbackWrites(writesPerS: number, memberCount: number, mayBeInForce: boolean): WriteShare {
  if (!mayBeInForce) return equalShare(writesPerS, memberCount);
  const total = minMemberWrites(writesPerS, memberCount);
  return { total, newJobs: total / 2 };
}

/**
 * Calculates the next allocation. The shares of all controllers together never exceed the budget, whichever allocation each of
 * them follows: `maxInUse` of a member is the most that it may be using under this allocation or an earlier one, and the sum of
 * all `maxInUse` never exceeds the budget. A share that is taken from one controller is therefore given to another only by a
 * later allocation, after the first controller has reported that it follows the reduction or has certainly fallen back to its
 * minimum (`hasFallenBack`). `isSettled`: the last allocation is older than any replica can be, so all controllers follow it or
 * have fallen back.
 */
export function nextAllocation(
  last: WriteAllocation | null,
  writesPerS: number,
  members: readonly MemberStatus[],
  isSettled: boolean,
  teamWeight: (team: string) => number,
): WriteAllocation {
  const minimum = minMemberWrites(writesPerS, members.length);
  const ideals = idealShares(writesPerS, members, teamWeight);
  const inUse = members.map((member) => maxWritesInUse(member, last, writesPerS, members.length, isSettled));
  // Members that were removed from the settings may still be using their share until the allocation has settled.
  const names = new Set(members.map(({ name }) => name));
  let inUseByOthers = 0;
  if (last && !isSettled)
    for (const [name, { maxInUse }] of last.members) if (!names.has(name)) inUseByOthers += maxInUse;
  const unallocated = Math.max(0, allocatableWrites(writesPerS) - inUseByOthers - sum(inUse));
  const targets = members.map(({ name }) => ideals.get(name)?.total ?? minimum);
  const increases = maxMinShares(
    unallocated,
    targets.map((total, i) => ({ demand: Math.max(0, total - inUse[i]), weight: 1, minimum: 0 })),
  );
  const allocations = members.map(({ name }, i): [string, MemberAllocation] => {
    const ideal = ideals.get(name);
    const total = Math.max(minimum, roundDown(Math.min(targets[i], inUse[i] + increases[i])));
    const newJobs = roundDown(Math.min(ideal?.newJobs ?? total / 2, total));
    const workloadRates = ideal?.workloadRates ?? new Map<string, number>();
    return [name, { total, newJobs, maxInUse: Math.max(inUse[i], total), workloadRates }];
  });
  return { version: (last?.version ?? 0) + 1, members: new Map(allocations) };
}

/** The shares, by name, that members would have if all could change at once. Members without presence and report have none. */
function idealShares(
  writesPerS: number,
  members: readonly MemberStatus[],
  teamWeight: (team: string) => number,
): Map<string, WriteShare & Pick<AdmissionShare, 'workloadRates'>> {
  const total = allocatableWrites(writesPerS);
  const equal = total / members.length;
  const active = members.filter(({ isPresent, demand }) => isPresent || demand);
  // The minimum of inactive members stays reserved, although they write nothing without presence.
  const inactiveCount = members.length - active.length;
  const writes = writesPerS * (1 - (minMemberWrites(writesPerS, members.length) * inactiveCount) / total);
  // A member that is present and has not reported is assumed to need an equal share.
  const demands = active.map(
    ({ demand }): WriteDemand => demand ?? { acceptedWork: equal / 2, newJobs: equal / 2, backlogS: 0 },
  );
  const newJobs = sum(divideWrites(writes, demands).map((share) => share.newJobs));
  const admission = divideAmongWorkloads(
    newJobs,
    active.map(({ demand }) => demand?.workloads ?? []),
    teamWeight,
  );
  const jobsByMember = admission.map(({ jobsPerS }) => jobsPerS);
  const hasWorkloads = jobsByMember.some((jobsPerS) => jobsPerS > 0);
  const shares = divideWrites(writes, demands, hasWorkloads ? jobsByMember : null);
  return new Map(
    active.map(({ name }, i) => [name, { ...shares[i], workloadRates: admission[i].workloadRates }]),
  );
}

/** The most writes per second that a member may be using now. */
function maxWritesInUse(
  { name, hasFallenBack, demand }: MemberStatus,
  last: WriteAllocation | null,
  writesPerS: number,
  memberCount: number,
  isSettled: boolean,
): number {
  if (!last) return allocatableWrites(writesPerS) / memberCount;
  const minimum = minMemberWrites(writesPerS, memberCount);
  const before = last.members.get(name);
  if (!before || hasFallenBack) return minimum;
  const follows = isSettled || (demand?.allocationVersion ?? 0) >= last.version;
  return Math.max(minimum, follows ? before.total : before.maxInUse);
}

/** Whether an allocation differs enough from the one in force to be written. */
export function isWorthWriting(
  current: WriteAllocation | null,
  next: WriteAllocation,
  writesPerS: number,
): boolean {
  if (!current || current.members.size !== next.members.size) return true;
  const threshold = (allocatableWrites(writesPerS) / next.members.size) * significantChangeShare;
  for (const [name, after] of next.members) {
    const before = current.members.get(name);
    if (!before || differSignificantly(before, after, threshold)) return true;
  }
  return false;
}

function differSignificantly(before: MemberAllocation, after: MemberAllocation, threshold: number): boolean {
  if (Math.abs(before.total - after.total) > threshold) return true;
  if (Math.abs(before.newJobs - after.newJobs) > threshold) return true;
  // Writes that are certainly no longer in use can be given to others, even if the member's own share stays the same.
  if (before.maxInUse - after.maxInUse > threshold) return true;
  for (const [key, rate] of after.workloadRates)
    if (Math.abs((before.workloadRates.get(key) ?? 0) - rate) > threshold) return true;
  for (const key of before.workloadRates.keys()) if (!after.workloadRates.has(key)) return true;
  return false;
}
