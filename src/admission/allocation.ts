import { maxMinShares } from './max-min-fairness.js';
import {
  equalShare,
  burstFactor,
  divideWrites,
  allocatableShare,
  type WriteShare,
  type WriteDemand,
} from './member-allocation.js';

/** What users of one team and class want, a second. */
export interface WorkloadDemand {
  team: string;
  class: string;
  /** Of its class within its team, by urgency. */
  weight: number;
  want: number;
}

/** What a controller tells of itself for the plan. */
export interface MemberDemand extends WriteDemand {
  /** The team and class of those that wait to be taken in there, those that want most first; none while nobody has to wait. */
  kinds: WorkloadDemand[];
  /** The number of the plan that it follows; 0: none. */
  follows: number;
}

/** A controller's part of the writes, a second. */
export interface MemberAllocation extends WriteShare {
  /** The most that it may be making use of, by this plan or an earlier one that it may still follow. */
  most: number;
  /** In which proportion teams (`workloadKey(team, '')`), and the classes of each, take turns there. */
  kinds: ReadonlyMap<string, number>;
}

/** What all controllers follow: a durable record. */
export interface WriteAllocation {
  version: number;
  members: ReadonlyMap<string, MemberAllocation>;
}

/** A controller, as whoever works the plan out knows it. */
export interface MemberStatus {
  name: string;
  /** Its presence is there. */
  here: boolean;
  /** Its presence has been gone for so long that it knows, or does not reach the state service: it has fallen back to its floor. */
  fallen: boolean;
  /** What it told last; null: it is not heard. */
  demand: MemberDemand | null;
}

export const workloadKey = (team: string, cls: string): string => `${team} ${cls}`;

/** Of an equal share: what each may make use of at any time, also one that knows of no plan, or of none that is new. */
const floorShare = 0.25;
/** Team and class that have work are to get at least this share of an equal one, whatever their weights. */
const leastKindShare = 0.5;
/** So many kinds of a controller are named; the others share what is left as they come. */
export const maxNamedWorkloads = 16;

export const allocatableWrites = (writesPerS: number): number => writesPerS * allocatableShare;
export const minMemberWrites = (writesPerS: number, members: number): number =>
  (allocatableWrites(writesPerS) / members) * floorShare;

/** What a controller follows that has no plan that is known to be new: deterministic, and all of them together are the whole. */
export function fallbackWrites(writesPerS: number, members: number, planInForce: boolean): WriteShare {
  if (!planInForce) return equalShare(writesPerS, members);
  const total = minMemberWrites(writesPerS, members);
  return { total, users: total / 2 };
}

/**
 * The next plan. By construction the parts of all controllers together never exceed the whole, whichever plan each of them
 * follows: `most` of a member is what it may be using by this plan or by an earlier one, and the sum of all `most` is never
 * more than the whole. What a plan takes from one is therefore given to another only by a plan after that member has told
 * that it follows, or has surely fallen back to its floor (`fallen`; `settled`: the last plan is older than views may be).
 */
export function nextAllocation(
  last: WriteAllocation | null,
  writesPerS: number,
  members: readonly MemberStatus[],
  settled: boolean,
  teamWeight: (team: string) => number,
): WriteAllocation {
  const whole = allocatableWrites(writesPerS);
  const floor = minMemberWrites(writesPerS, members.length);
  const equal = whole / members.length;
  const here = members.filter((m) => m.here || m.demand);
  // Whose presence is gone writes nothing; its floor is kept for it.
  const writes = writesPerS * (1 - (floor * (members.length - here.length)) / whole);
  // Whoever is here and not heard is taken to want an equal share.
  const wants = here.map((m): WriteDemand => m.demand ?? { tasks: equal / 2, users: equal / 2, behindS: 0 });
  const usersAll = divideWrites(writes, wants).reduce((sum, p) => sum + p.users, 0);
  const shares = kindParts(usersAll, here, teamWeight);
  const crowd = shares.map((s) => s.rate);
  const ideals = divideWrites(writes, wants, crowd.some((x) => x > 0) ? crowd : null);
  const ideal = new Map(here.map((m, i) => [m.name, { ...ideals[i], kinds: shares[i].kinds }]));
  const using = members.map((m) => {
    const before = last?.members.get(m.name);
    if (!last) return equal;
    if (!before || m.fallen) return floor;
    return Math.max(floor, settled || (m.demand?.follows ?? 0) >= last.version ? before.total : before.most);
  });
  // Guards against members that come and go in the settings: what they may be using counts until the plan has settled.
  const names = new Set(members.map((m) => m.name));
  let others = 0;
  if (last && !settled) for (const [name, p] of last.members) if (!names.has(name)) others += p.most;
  const free = Math.max(0, whole - others - using.reduce((a, b) => a + b, 0));
  const wanted = members.map((m) => ideal.get(m.name)?.total ?? floor);
  const raises = maxMinShares(
    free,
    wanted.map((want, i) => ({ want: Math.max(0, want - using[i]), weight: 1, floor: 0 })),
  );
  const parts = new Map<string, MemberAllocation>();
  members.forEach((m, i) => {
    const total = Math.max(floor, down(Math.min(wanted[i], using[i] + raises[i])));
    const users = down(Math.min(ideal.get(m.name)?.users ?? total / 2, total));
    const kinds = ideal.get(m.name)?.kinds ?? new Map<string, number>();
    parts.set(m.name, { total, users, most: Math.max(using[i], total), kinds });
  });
  return { version: (last?.version ?? 0) + 1, members: parts };
}

/**
 * What users may have is divided by team, then by class, weighted max-min with a floor for each that has work; then each
 * kind's part among the controllers to which its users come.
 */
function kindParts(
  users: number,
  members: readonly MemberStatus[],
  teamWeight: (team: string) => number,
): { rate: number; kinds: Map<string, number> }[] {
  const teams = new Map<string, Map<string, { weight: number; want: number; at: number[] }>>();
  members.forEach((m, i) => {
    for (const k of m.demand?.kinds ?? []) {
      let team = teams.get(k.team);
      if (!team) teams.set(k.team, (team = new Map()));
      let kind = team.get(k.class);
      if (!kind) team.set(k.class, (kind = { weight: k.weight, want: 0, at: members.map(() => 0) }));
      kind.want += k.want * burstFactor;
      kind.at[i] += k.want * burstFactor;
    }
  });
  const out = members.map(() => ({ rate: 0, kinds: new Map<string, number>() }));
  /** By controller: those that get all that they want, of the teams and of each team's classes. */
  const content: { at: number; name: string; level: Map<string, number> }[] = [];
  const least = (total: number, n: number): number => (leastKindShare * total) / Math.max(1, n);
  const ofTeams = maxMinShares(
    users,
    [...teams].map(([name, classes]) => ({
      want: sum([...classes.values()].map((k) => k.want)),
      weight: teamWeight(name),
      floor: least(users, teams.size),
    })),
  );
  const teamRates = members.map(() => new Map<string, number>());
  [...teams].forEach(([team, classes], t) => {
    const list = [...classes];
    const ofClasses = maxMinShares(
      ofTeams[t],
      list.map(([, k]) => ({ want: k.want, weight: k.weight, floor: least(ofTeams[t], list.length) })),
    );
    const levels = members.map(() => new Map<string, number>());
    const whole = ofTeams[t] > sum(list.map(([, k]) => k.want)) - tiny;
    list.forEach(([cls, k], c) =>
      k.at.forEach((want, i) => {
        if (want <= 0) return;
        const rate = (ofClasses[c] * want) / k.want;
        const name = workloadKey(team, cls);
        out[i].rate += rate;
        levels[i].set(name, rate);
        teamRates[i].set(workloadKey(team, ''), (teamRates[i].get(workloadKey(team, '')) ?? 0) + rate);
        if (ofClasses[c] > k.want - tiny) content.push({ at: i, name, level: levels[i] });
      }),
    );
    members.forEach((_, i) => {
      if (whole && levels[i].size > 0)
        content.push({ at: i, name: workloadKey(team, ''), level: teamRates[i] });
      for (const [name, rate] of levels[i]) out[i].kinds.set(name, rate);
    });
  });
  // Who gets all that it wants is to get it at once: in proportion to its few, it would wait for its turn among many.
  out.forEach((o, i) => teamRates[i].forEach((rate, name) => o.kinds.set(name, rate)));
  for (const { at, name, level } of content) out[at].kinds.set(name, Math.max(...level.values()));
  for (const o of out) for (const [name, x] of o.kinds) o.kinds.set(name, Math.max(0.01, down(x)));
  return out;
}

const sum = (list: readonly number[]): number => list.reduce((a, b) => a + b, 0);
const tiny = 1e-6;

/** Two digits are enough, and never more than there is. */
const down = (x: number): number => Math.floor(x * 100) / 100;

/** Whether a plan differs so much from the one in force that it is worth a write. */
export function isWorthWriting(
  a: WriteAllocation | null,
  b: WriteAllocation,
  writesPerS: number,
  share = 0.1,
): boolean {
  if (!a || a.members.size !== b.members.size) return true;
  const much = (allocatableWrites(writesPerS) / b.members.size) * share;
  for (const [name, p] of b.members) {
    const was = a.members.get(name);
    if (!was || Math.abs(was.total - p.total) > much || Math.abs(was.users - p.users) > much) return true;
    // What nobody follows any more can be given away: that is a change, too, though not of its own part.
    if (was.most - p.most > much) return true;
    for (const [kind, rate] of p.kinds) if (Math.abs((was.kinds.get(kind) ?? 0) - rate) > much) return true;
    for (const kind of was.kinds.keys()) if (!p.kinds.has(kind)) return true;
  }
  return false;
}
