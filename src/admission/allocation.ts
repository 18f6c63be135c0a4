/** The allocation of the write budget: how the leader works it out, and how it changes without ever exceeding the budget. */
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

/** What a controller reports of itself for the allocation. */
export interface MemberDemand extends WriteDemand {
  /** The workloads that wait for admission there, the largest first; none while none has to wait. */
  readonly workloads: readonly WorkloadDemand[];
  /** The version of the allocation that it follows; 0: none. */
  readonly allocationVersion: number;
}

/** A controller's share of the writes, a second. */
export interface MemberAllocation extends WriteShare {
  /** The most that it may be using, by this allocation or by an earlier one that it may still follow. */
  readonly maxInUse: number;
  /** The rates by which teams (`workloadKey(team, '')`), and the classes of each, take turns there. */
  readonly workloadRates: ReadonlyMap<string, number>;
}

/** The allocation that all controllers follow: a durable record. */
export interface WriteAllocation {
  readonly version: number;
  readonly members: ReadonlyMap<string, MemberAllocation>;
}

/** A controller, as the leader knows it. */
export interface MemberStatus {
  readonly name: string;
  /** Its presence record exists. */
  readonly isPresent: boolean;
  /** Its presence has been gone for so long that it must have fallen back to its minimum. */
  readonly hasFallenBack: boolean;
  /** What it reported last; null: nothing recent. */
  readonly demand: MemberDemand | null;
}

/** Share of an equal share that each controller may use at any time, also if it knows of no recent allocation. */
const minEqualShare = 0.25;
/** Changes below this share of an equal share are not worth a write. */
const significantChange = 0.1;

/** The writes a second that are allocated. */
export const allocatableWrites = (writesPerS: number): number => writesPerS * allocatableShare;

/** The writes a second that each controller may make at any time. */
export const minMemberWrites = (writesPerS: number, memberCount: number): number =>
  (allocatableWrites(writesPerS) / memberCount) * minEqualShare;

/**
 * The share of a controller that knows of no recent allocation: its minimum, if one may be in force (`mayBeInForce`), else an equal
 * share. It depends on nothing else, and all of them together do not exceed the budget.
 */
export function fallbackWrites(writesPerS: number, memberCount: number, mayBeInForce: boolean): WriteShare {
  if (!mayBeInForce) return equalShare(writesPerS, memberCount);
  const total = minMemberWrites(writesPerS, memberCount);
  return { total, newJobs: total / 2 };
}

/**
 * The next allocation. The shares of all controllers together never exceed the budget, whichever allocation each of them
 * follows: `maxInUse` of a member is what it may be using by this allocation or an earlier one, and the sum of all `maxInUse`
 * never exceeds the budget. What is taken from one is therefore given to another only by an allocation after the first has
 * reported that it follows, or has certainly fallen back to its minimum (`hasFallenBack`; `isSettled`: the last allocation is older
 * than a replica may be).
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
  // Guards against members that come and go in the settings: what they may be using counts until the allocation has settled.
  const names = new Set(members.map(({ name }) => name));
  let inUseByOthers = 0;
  if (last && !isSettled)
    for (const [name, { maxInUse }] of last.members) if (!names.has(name)) inUseByOthers += maxInUse;
  const free = Math.max(0, allocatableWrites(writesPerS) - inUseByOthers - sum(inUse));
  const wanted = members.map(({ name }) => ideals.get(name)?.total ?? minimum);
  const raises = maxMinShares(
    free,
    wanted.map((total, i) => ({ demand: Math.max(0, total - inUse[i]), weight: 1, minimum: 0 })),
  );
  const allocations = members.map(({ name }, i): [string, MemberAllocation] => {
    const ideal = ideals.get(name);
    const total = Math.max(minimum, roundDown(Math.min(wanted[i], inUse[i] + raises[i])));
    const newJobs = roundDown(Math.min(ideal?.newJobs ?? total / 2, total));
    const workloadRates = ideal?.workloadRates ?? new Map<string, number>();
    return [name, { total, newJobs, maxInUse: Math.max(inUse[i], total), workloadRates }];
  });
  return { version: (last?.version ?? 0) + 1, members: new Map(allocations) };
}

/** The shares that members would have if all could change at once, by name; members without presence and report have none. */
function idealShares(
  writesPerS: number,
  members: readonly MemberStatus[],
  teamWeight: (team: string) => number,
): Map<string, WriteShare & Pick<AdmissionShare, 'workloadRates'>> {
  const total = allocatableWrites(writesPerS);
  const equal = total / members.length;
  const active = members.filter(({ isPresent, demand }) => isPresent || demand);
  // The minimum of the others is kept for them, though without presence they write nothing.
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

/** The most that a member may be using now. */
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

/** Whether an allocation differs so much from the one in force that it is worth a write. */
export function isWorthWriting(
  current: WriteAllocation | null,
  next: WriteAllocation,
  writesPerS: number,
): boolean {
  if (!current || current.members.size !== next.members.size) return true;
  const threshold = (allocatableWrites(writesPerS) / next.members.size) * significantChange;
  for (const [name, after] of next.members) {
    const before = current.members.get(name);
    if (!before || differ(before, after, threshold)) return true;
  }
  return false;
}

function differ(before: MemberAllocation, after: MemberAllocation, threshold: number): boolean {
  if (Math.abs(before.total - after.total) > threshold) return true;
  if (Math.abs(before.newJobs - after.newJobs) > threshold) return true;
  // What is certainly not in use any more can be given to others, though the member's own share stays.
  if (before.maxInUse - after.maxInUse > threshold) return true;
  for (const [key, rate] of after.workloadRates)
    if (Math.abs((before.workloadRates.get(key) ?? 0) - rate) > threshold) return true;
  for (const key of before.workloadRates.keys()) if (!after.workloadRates.has(key)) return true;
  return false;
}
