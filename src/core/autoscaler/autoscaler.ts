/** The leader and the cloud: machines that are rented, found, given to shards and returned. */
import type { Operators } from '../../config/operators.js';
import type { Settings } from '../../config/settings.js';
import { isPremium, urgencyRank } from '../../model/job.js';
import { fitCount, type MachineRecord, type MachineType } from '../../model/machine.js';
import type { Heartbeat } from '../../model/heartbeat.js';
import { placementScore } from '../../policy/helios.js';
import { RetryBackoff, type Random, type RetryPolicy } from '../../retry/index.js';
import type { ListedMachine, RentRequest } from '../../wire/cloud.js';
import type { Write } from '../../wire/store.js';
import {
  blockData,
  blockKey,
  type Committer,
  machineData,
  machineKey,
  Rank,
  machineTypesData,
} from '../storage/index.js';
import { DemandCalculator, emptyHeadroom, poolOf, isEligible, offerKey, type UnmetDemand } from './demand.js';
import type { Clock, Effect, Log } from '../effects.js';
import { mayShareGpuMachine, fitsCpuOnlyType } from '../../policy/gpu-sharing.js';
import { anchorPrice, machineCandidate, imageFetchS, scoreWeights } from '../../policy/pricing.js';
import type { VersionedMachine, Replica } from '../replica.js';

/** A kind of machine in a zone that could be rented. */
interface MachineOffer {
  type: MachineType;
  zone: string;
  spot: boolean;
}

const mostPerRent = 50;
const mostPerDelete = 100;
const listPage = 500;
const returnEveryMs = 250;
/**
 * Deleted machines that are remembered, so that a listing that is older than their deletion does not bring them back. More
 * than the largest fleet: all of it may be returned within one listing lag.
 */
const maxRememberedDeletions = 20_000;
/** Of the cloud's request budget; the rest is slack for its clock and ours. */
const budgetShare = 0.8;

/**
 * The leader's care for the fleet: what to rent for which shard, whom to give free machines, what to return.
 * Demand is read off the replica, which every node has.
 */
export class Autoscaler {
  private typesAt = -Infinity;
  private askingTypes = false;
  private listAt = -Infinity;
  private listing = false;
  private planAt = -Infinity;
  private returnedAt = -Infinity;
  private count = 0;
  private budget = 0;
  private budgetAt = -1;
  private readonly calls: RetryBackoff;
  /** Slots that were refused: when last, and how often in a row. */
  private readonly refused = new Map<string, { at: number; times: number }>();
  /** Requests whose machines are not recorded yet, and how many those are, as far as known. */
  private readonly renting = new Map<string, { request: RentRequest; shard: number; coming: number }>();
  private readonly deleting = new Set<string>();
  private readonly writing = new Set<string>();
  /** Machines just rented whose block is still being written. */
  private readonly recording = new Set<string>();
  private readonly absentSince = new Map<string, number>();
  private readonly heard = new Map<string, number>();
  hazardPerStep: () => number = () => 0;
  /** Guards against returning a machine on which something runs that is not known (any more). */
  mayScaleIn: () => boolean = () => true;

  constructor(
    private readonly settings: Settings,
    private readonly operators: Operators,
    private readonly replica: Replica,
    private readonly batcher: Committer,
    private readonly clock: Clock,
    retry: RetryPolicy,
    random: Random,
    private readonly log: Log,
  ) {
    this.calls = new RetryBackoff(retry, random);
  }

  /** Forgets what only mattered while this node led. */
  reset(): void {
    this.renting.clear();
    this.askAgain = [];
    this.deleting.clear();
    this.absentSince.clear();
    this.refused.clear();
    this.listing = false;
    this.askingTypes = false;
    this.listAt = -Infinity;
    this.typesAt = -Infinity;
  }

  tick(out: Effect[]): void {
    const now = this.clock.now;
    const rps = this.settings.cloud.rps;
    if (this.budgetAt < 0) this.budget = rps;
    else this.budget = Math.min(rps, this.budget + ((now - this.budgetAt) / 1000) * rps * budgetShare);
    this.budgetAt = now;
    if (!this.askingTypes && now - this.typesAt > this.typesEveryMs && this.spend()) {
      this.askingTypes = true;
      this.typesAt = now;
      out.push({ type: 'list-machine-types' });
    }
    if (this.replica.machineTypes.length === 0) return;
    if (!this.listing && now - this.listAt > this.settings.cloud.list_lag_s * 1000 && this.spend()) {
      this.listing = true;
      this.listAt = now;
      // Each further page is a call, too.
      this.budget -= Math.floor(this.replica.machines.size / listPage);
      out.push({ type: 'list-machines' });
    }
    if (now - this.returnedAt >= returnEveryMs) {
      this.returnedAt = now;
      this.returnMachines(out);
    }
    while (this.askAgain.length > 0 && this.spend())
      out.push({ type: 'rent-machines', request: this.askAgain.shift()! });
    if (now - this.planAt >= 1000 && this.replica.shards.size > 0) {
      this.planAt = now;
      this.plan(out);
    }
  }

  /** Something was asked of the cloud that changes what there is, or waits to be recorded. */
  get hasPendingChanges(): boolean {
    return this.renting.size > 0 || this.deleting.size > 0 || this.writing.size > 0;
  }

  private get typesEveryMs(): number {
    return this.replica.machineTypes.length === 0 ? 500 : this.settings.workers.lease_s * 2000;
  }

  /** A call may go out now: within the budget, and one at a time while the cloud does not answer. */
  private spend(): boolean {
    if (this.budget < 1 || !this.calls.tryAcquire(this.clock.now)) return false;
    this.budget--;
    return true;
  }

  // ---- answers of the cloud ----

  handleMachineTypes(types: MachineType[] | null): void {
    this.askingTypes = false;
    this.answered(types !== null);
    if (!types || types.length === 0) return;
    const drift = (a: number, b: number) => Math.abs(a - b) > 0.01 * Math.max(a, b);
    const same =
      types.length === this.replica.machineTypes.length &&
      types.every((t, i) => {
        const k = this.replica.machineTypes[i];
        return (
          k.name === t.name &&
          k.cpus === t.cpus &&
          !drift(k.price, t.price) &&
          !drift(k.spotPrice, t.spotPrice)
        );
      });
    if (same) return;
    this.change('types', () => [{ key: this.replica.activeTypesKey, data: machineTypesData(types) }]);
  }

  private answered(ok: boolean): void {
    if (ok) this.calls.onSuccess();
    else this.calls.onFailure(this.clock.now);
  }

  handleRental(request: RentRequest, outcome: { hosts: string[] } | 'none' | 'refused' | 'unknown'): void {
    this.answered(typeof outcome === 'object' || outcome === 'none');
    const asked = this.renting.get(request.name);
    const slot = offerKey(request.type, request.zone, request.spot);
    const now = this.clock.now;
    if (typeof outcome === 'object') {
      this.log('info', 'rented', { ...request, hosts: outcome.hosts });
      this.refused.delete(slot);
      if (outcome.hosts.length < request.count) this.refused.set(slot, { at: now, times: 1 });
      this.recordBlock(request, outcome.hosts, asked?.shard);
      return;
    }
    if (outcome === 'none') {
      this.log('info', 'no capacity', { ...request });
      this.refused.set(slot, { at: now, times: (this.refused.get(slot)?.times ?? 0) + 1 });
      // The next best slot is tried at once.
      this.planAt = -Infinity;
    }
    // No answer: it may have been carried out, or may still be. Asking again under the same name tells.
    if (outcome === 'unknown' && asked) this.askAgain.push(request);
    else this.renting.delete(request.name);
  }

  private askAgain: RentRequest[] = [];

  /** One write for all machines of a rental: a fleet of hundreds must not wait for hundreds of writes. */
  private recordBlock(request: RentRequest, hosts: string[], shard: number | undefined): void {
    const { type, zone, spot } = request;
    const since = this.clock.wall;
    const asked = this.renting.get(request.name);
    // Guards against renting the same again while the record is on its way: until then it counts as coming.
    if (asked && hosts.length > 0) asked.coming = hosts.length;
    else this.renting.delete(request.name);
    if (hosts.length === 0) return;
    if (shard === undefined) {
      for (const host of hosts) this.record({ host, type, zone, spot, shard: -1, state: 'free', since });
      return;
    }
    for (const host of hosts) this.recording.add(host);
    this.change(
      blockKey(request.name),
      () => {
        const key = blockKey(request.name);
        const known = this.replica.modRevisionOf(key) > 0;
        return known ? null : [{ key, data: blockData({ type, zone, spot, shard, since, hosts }) }];
      },
      () => {
        this.renting.delete(request.name);
        for (const host of hosts) this.recording.delete(host);
      },
    );
  }

  handleDeletion(hosts: string[], ok: boolean): void {
    this.answered(ok);
    const blocks = new Map<string, string[]>();
    for (const host of hosts) {
      this.deleting.delete(host);
      if (!ok || !this.replica.machines.has(host)) continue;
      const block = this.replica.blockOf(host);
      if (block === undefined) this.change(machineKey(host), () => this.dropMachine(host));
      else blocks.set(block, [...(blocks.get(block) ?? []), host]);
    }
    // A block and its machines' own records change together, as far as a transaction goes.
    const most = this.settings.state.txn_ops - 1;
    for (const [block, gone] of blocks)
      for (let i = 0; i < gone.length; i += most) {
        const part = new Set(gone.slice(i, i + most));
        this.change(`${blockKey(block)} ${i}`, () => this.leaveBlock(block, part));
      }
  }

  private dropMachine(host: string): Write[] | null {
    const key = machineKey(host);
    return this.replica.modRevisionOf(key) > 0 ? [{ key, data: undefined }] : null;
  }

  private leaveBlock(id: string, gone: ReadonlySet<string>): Write[] | null {
    const block = this.replica.blocks.get(id);
    if (!block) return null;
    const hosts = block.hosts.filter((h) => !gone.has(h));
    const apply: Write[] = [
      // First, so that no machine falls back from its own record to its block's.
      { key: blockKey(id), data: hosts.length > 0 ? blockData({ ...block, hosts }) : undefined },
    ];
    for (const host of gone) apply.push(...(this.dropMachine(host) ?? []));
    return apply;
  }

  handleListing(machines: ListedMachine[] | null, askedAt: number): void {
    this.listing = false;
    this.answered(machines !== null);
    if (!machines) return;
    const now = this.clock.now;
    const present = new Set<string>();
    for (const l of machines) {
      present.add(l.host);
      const known = this.replica.machines.get(l.host);
      this.absentSince.delete(l.host);
      if (known && l.status === 'failed') this.condemn(known, 'failed');
      // Guards against the late rental: a machine that nobody recorded is taken in once it cannot be one
      // whose rental is being recorded just now.
      else if (
        !known &&
        !this.replica.unreadableRecords.has(machineKey(l.host)) &&
        l.ageS > this.settings.cloud.list_lag_s &&
        !this.deletedLately.has(l.host)
      )
        if (!this.recording.has(l.host)) this.adopt(l);
    }
    const patience = this.settings.cloud.list_lag_s * 4000;
    for (const m of this.replica.machines.values()) {
      if (present.has(m.host)) continue;
      const since = this.absentSince.get(m.host) ?? askedAt;
      this.absentSince.set(m.host, since);
      const heard = this.heard.get(m.host) ?? -Infinity;
      // Absence proves nothing: it only makes us ask for the deletion, whose answer does.
      if (now - since > patience && now - heard > patience && this.clock.wall - m.since > patience * 2)
        this.condemn(m, 'absent');
    }
  }

  private readonly deletedLately = new Set<string>();

  private adopt(l: { host: string; type: string; zone: string; spot: boolean }): void {
    this.log('info', 'unexpected machine', { host: l.host });
    this.record({
      host: l.host,
      type: l.type,
      zone: l.zone,
      spot: l.spot,
      shard: -1,
      state: 'free',
      since: this.clock.wall,
    });
  }

  /** A worker that nobody knows reports to the leader. */
  adoptReportingMachine(r: Heartbeat): void {
    // Guards against taking over a machine whose record cannot be read.
    if (this.replica.unreadableRecords.has(machineKey(r.host))) return;
    if (this.deletedLately.has(r.host) || !this.replica.machineTypes.some((t) => t.name === r.type)) return;
    // Guards against the fast boot: up before the rental's answer is here or recorded.
    if (this.recording.has(r.host)) return;
    const slot = offerKey(r.type, r.zone, r.spot);
    for (const { request } of this.renting.values())
      if (offerKey(request.type, request.zone, request.spot) === slot) return;
    this.adopt(r);
  }

  recordHeartbeat(host: string): void {
    this.heard.set(host, this.clock.now);
  }

  /** A person says that a machine is gone, with all that was on it. */
  abandonMachine(host: string): void {
    const m = this.replica.machines.get(host);
    if (m) this.condemn(m, 'forgotten');
  }

  private condemn(m: VersionedMachine, why: string): void {
    if (m.state === 'dead') return;
    this.log('info', 'machine given up', { host: m.host, why });
    this.restand(m.host, (now) => ({ ...now, state: 'dead' }));
  }

  /** Gives a machine a record of its own, made from how it stands when the write goes out. */
  private restand(host: string, to: (now: VersionedMachine) => MachineRecord | null): void {
    const key = machineKey(host);
    this.change(key, () => {
      const now = this.replica.machines.get(host);
      const next = now ? to(now) : null;
      return next && [{ key, data: machineData(next) }];
    });
  }

  private record(m: MachineRecord): void {
    const key = machineKey(m.host);
    if (this.replica.machines.has(m.host)) return;
    this.change(key, () => (this.replica.machines.has(m.host) ? null : [{ key, data: machineData(m) }]));
  }

  /**
   * Changes keys as the leader; a conflict means that the view was old, and the next plan decides anew. One
   * change at a time goes by the same name.
   */
  private change(name: string, build: () => Write[] | null, ended?: () => void): void {
    if (this.writing.has(name)) return;
    this.writing.add(name);
    const done = () => {
      this.writing.delete(name);
      ended?.();
    };
    this.batcher.enqueue({
      priority: Rank.provisioning,
      build: () => {
        const lead = this.replica.leader;
        const apply = lead?.member === this.settings.member ? build() : null;
        if (!lead || apply === null) {
          done();
          return null;
        }
        return {
          conditions: [
            ...apply.map((w) => ({ key: w.key, stamp: this.replica.modRevisionOf(w.key) })),
            { key: this.replica.activeLeaderKey, stamp: lead.modRevision },
          ],
          writes: apply,
        };
      },
      onCommitted: done,
      onConflict: done,
    });
  }

  // ---- returning ----

  private returnMachines(out: Effect[]): void {
    const hosts: string[] = [];
    for (const m of this.replica.machines.values()) {
      if (this.deleting.has(m.host) || this.writing.has(machineKey(m.host))) continue;
      const idle = m.state === 'free' && !this.settings.pool && this.mayScaleIn() && this.surplus(m);
      if (m.state === 'dead' || idle) hosts.push(m.host);
      if (hosts.length >= mostPerDelete) break;
    }
    if (hosts.length === 0 || !this.spend()) return;
    for (const h of hosts) {
      this.deleting.add(h);
      this.deletedLately.add(h);
      if (this.deletedLately.size > maxRememberedDeletions)
        this.deletedLately.delete(this.deletedLately.values().next().value!);
    }
    this.log('info', 'returning', { hosts });
    out.push({ type: 'delete-machines', hosts });
  }

  /** A free machine that the last plan found no use for. */
  private surplus(m: VersionedMachine): boolean {
    return this.unwanted.has(m.host);
  }

  private unwanted = new Set<string>();

  // ---- renting ----

  private plan(out: Effect[]): void {
    if (this.settings.pool) return this.takeAll();
    const demand = new DemandCalculator(
      this.settings,
      this.operators,
      this.replica,
      this.clock.wall,
      (type, zone, spot) => this.isOpen(type, zone, spot),
    );
    const free = this.countRooms(demand);
    const unmet = demand.unmet();
    this.unwanted.clear();
    for (const { m, type } of free) {
      const user = unmet.find(
        (u) =>
          u.count > 0 &&
          (u.zones === null || u.zones.includes(m.zone)) &&
          isEligible(u.spec, type, m.zone, m.spot) &&
          // The placement would leave it idle.
          mayShareGpuMachine(u.spec, type, 0, this.replica.machineTypes),
      );
      if (!user) {
        this.unwanted.add(m.host);
        continue;
      }
      user.count -= fitCount(user.spec, type);
      this.log('info', 'assigning machine', { host: m.host, shard: user.shard });
      this.restand(m.host, (now) =>
        now.state === 'free' ? { ...now, shard: user.shard, state: 'use' } : null,
      );
    }
    this.rentAll(unmet, out);
  }

  /** Machines that cost nothing are used as they come. */
  private takeAll(): void {
    for (const m of this.replica.machines.values())
      if (m.state === 'free' && !this.writing.has(machineKey(m.host)))
        this.restand(m.host, (now) => (now.state === 'free' ? { ...now, shard: 0, state: 'use' } : null));
  }

  /** Fills in the rooms of all machines that are up or coming; returns those that are with the leader. */
  private countRooms(demand: DemandCalculator): { m: VersionedMachine; type: MachineType }[] {
    const free: { m: VersionedMachine; type: MachineType }[] = [];
    const types = new Map(this.replica.machineTypes.map((t) => [t.name, t]));
    for (const m of this.replica.machines.values()) {
      const type = types.get(m.type);
      if (!type || m.state === 'dead' || this.deleting.has(m.host)) continue;
      if (m.state === 'use') demand.addMachine(m, type);
      else if (!this.writing.has(machineKey(m.host))) free.push({ m, type });
    }
    for (const { request, shard, coming } of this.renting.values()) {
      const type = types.get(request.type);
      if (!type) continue;
      const { rooms } = poolOf(demand.kindsOf(shard), type, request.zone, request.spot);
      for (let i = 0; i < coming; i++) rooms.push(emptyHeadroom(type, this.operators.headroom));
    }
    demand.takePlaced();
    return free;
  }

  private isOpen(type: MachineType, zone: string, spot: boolean): boolean {
    const refusal = this.refused.get(offerKey(type.name, zone, spot));
    if (!refusal) return true;
    // A slot that is refused time and again rests longer and longer.
    const rest = this.refusalMs(type.name) * 2 ** Math.min(refusal.times - 1, 3);
    return this.clock.now - refusal.at > rest;
  }

  private refusalMs(type: string): number {
    const boot = this.replica.machineTypes.find((t) => t.name === type)?.bootS ?? 30;
    return boot * 1000 * (this.operators['idle-boots'] || 1) * 0.5;
  }

  /**
   * Rents what the unmet tasks take. Jobs that would have the same machines share a request: calls are few, and
   * a fleet of hundreds must come up within some seconds.
   */
  private rentAll(unmet: UnmetDemand[], out: Effect[]): void {
    const perZone = new Map<string, number>();
    for (const m of this.replica.machines.values()) perZone.set(m.zone, (perZone.get(m.zone) ?? 0) + 1);
    const wanted = new Map<string, { slot: MachineOffer; shard: number; machines: number; u: UnmetDemand }>();
    for (const u of unmet) {
      if (u.count <= 0) continue;
      const slot = this.bestSlot(u, perZone);
      if (!slot) continue;
      const key = `${u.shard} ${offerKey(slot.type.name, slot.zone, slot.spot)}`;
      let want = wanted.get(key);
      if (!want) wanted.set(key, (want = { slot, shard: u.shard, machines: 0, u }));
      // Small tasks of several jobs share machines.
      const machines = u.count / fitCount(u.spec, slot.type);
      want.machines += machines;
      perZone.set(slot.zone, (perZone.get(slot.zone) ?? 0) + machines);
    }
    for (const { slot, shard, machines, u } of wanted.values())
      for (let left = Math.ceil(machines - 1e-6); left > 0; left -= mostPerRent) {
        if (!this.spend()) return;
        const request: RentRequest = {
          name: `r-${this.replica.tokenBase + this.replica.leader!.modRevision}-${++this.count}`,
          type: slot.type.name,
          zone: slot.zone,
          spot: slot.spot,
          count: Math.min(mostPerRent, left),
        };
        this.renting.set(request.name, { request, shard, coming: request.count });
        this.log('info', 'renting', { ...request, job: u.spec.id, urgency: urgencyRank[u.spec.urgency] });
        out.push({ type: 'rent-machines', request });
      }
  }

  /** The best kind of machine to rent for a job's unmet tasks, by the policy's score; null: none is to be had. */
  private bestSlot(u: UnmetDemand, perZone: ReadonlyMap<string, number>): MachineOffer | null {
    const { spec } = u;
    const open = (type: MachineType, zone: string, spot: boolean) =>
      this.isOpen(type, zone, spot) && (u.zones === null || u.zones.includes(zone));
    // Premium stays anchored to a type that can be had; if none can, to the cheapest that fits.
    let anchor = anchorPrice(spec, this.replica.machineTypes, (t) => t.zones.some((z) => open(t, z, false)));
    if (!Number.isFinite(anchor)) anchor = anchorPrice(spec, this.replica.machineTypes);
    // The dearest machines are not rented for work that others can do: the placement would not use them either.
    const gpuToo = spec.gpus > 0 || !fitsCpuOnlyType(spec, this.replica.machineTypes);
    // Spreads machines over zones; a tie-break only, however large the fleet.
    const balance = 1e-4 / [...perZone.values()].reduce((a, b) => a + b, 1);
    let best: (MachineOffer & { s: number }) | null = null;
    for (const type of this.replica.machineTypes) {
      if (type.gpus > 0 && !gpuToo) continue;
      const per = fitCount(spec, type);
      if (per < 1) continue;
      // Only the CPUs that the tasks will use bring something: the price is for those.
      const useful = Math.min(1, (Math.min(per, u.count) * Math.max(spec.cpus, 0.01)) / type.cpus);
      for (const zone of type.zones)
        for (const spot of [false, true]) {
          if (!isEligible(spec, type, zone, spot) || !open(type, zone, spot)) continue;
          const delayS = type.bootS + imageFetchS(spec, type);
          const offered = machineCandidate(type, spot, {
            spotHazard: this.hazardPerStep(),
            delayS,
            rentalCpus: type.cpus,
          });
          const c = { ...offered, price: offered.price / useful };
          const work = { premium: isPremium(spec), cpus: spec.cpus };
          const s =
            placementScore(work, c, anchor, scoreWeights(this.operators)) -
            balance * (perZone.get(zone) ?? 0);
          if (best === null || s > best.s) best = { type, zone, spot, s };
        }
    }
    return best;
  }
}
