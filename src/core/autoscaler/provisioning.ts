/** Scale out: requests machines from the cloud for unmet demand, and follows each request until its machines are recorded. */
import { urgencyRank } from '../../model/job.js';
import { fitCount } from '../../model/machine.js';
import type { RentalOutcome, RentRequest } from '../../wire/cloud.js';
import type { Effect } from '../effects.js';
import type { AutoscalerContext } from './context.js';
import type { UnmetDemand } from './demand.js';
import type { FleetRecords } from './fleet-records.js';
import { bestOffer } from './offer-selection.js';
import { offerKey, type MachineOffer, type OfferAvailability } from './offers.js';
import type { CloudRequestBudget } from './request-budget.js';

/** Machines that one request asks for at most. */
const maxMachinesPerRequest = 50;
/** Sums of fractions of machines may miss a whole number by rounding. */
const roundingTolerance = 1e-6;

/** A request whose machines are not recorded yet. */
export interface PendingRental {
  readonly request: RentRequest;
  readonly shard: number;
  /** How many machines it will bring, as far as known. */
  expectedCount: number;
}

/** Machines of one offer that a shard needs. */
interface ScaleOut {
  readonly offer: MachineOffer;
  readonly shard: number;
  /** The first demand that asked for them, for the log. */
  readonly demand: UnmetDemand;
  /** Fractions count: small tasks of several jobs share machines. */
  machineCount: number;
}

/** The leader's requests for machines. */
export class Provisioner {
  /** Requests by name. */
  private readonly pending = new Map<string, PendingRental>();
  /** Requests whose outcome is unknown. */
  private unanswered: RentRequest[] = [];
  /** Machines just provided whose record is still being written. */
  private readonly unrecordedHosts = new Set<string>();
  private requestCount = 0;
  /** The rate at which spot machines are reclaimed, for one step of the policy's hazard model. */
  hazardPerStep: () => number = () => 0;

  constructor(
    private readonly context: AutoscalerContext,
    private readonly budget: CloudRequestBudget,
    private readonly records: FleetRecords,
    private readonly availability: OfferAvailability,
  ) {}

  /** Forgets the requests of an earlier leadership. */
  reset(): void {
    this.pending.clear();
    this.unanswered = [];
    this.availability.clear();
  }

  /** Requests whose machines are not recorded yet: until then these count as expected. */
  get pendingRentals(): ReadonlyMap<string, PendingRental> {
    return this.pending;
  }

  /** Whether the record of a machine that was just provided is being written. */
  isUnrecorded(host: string): boolean {
    return this.unrecordedHosts.has(host);
  }

  /** Whether a machine of this offer may belong to a request that is under way. */
  mayBePending(offer: string): boolean {
    for (const { request } of this.pending.values())
      if (offerKey(request.type, request.zone, request.spot) === offer) return true;
    return false;
  }

  /** Repeats requests without an answer: their names make them idempotent, so the answer tells what became of the first. */
  retryUnanswered(out: Effect[]): void {
    while (this.unanswered.length > 0 && this.budget.tryAcquire())
      out.push({ type: 'rent-machines', request: this.unanswered.shift()! });
  }

  /**
   * Requests machines for unmet demand. Jobs for which the same offer is best share a request: requests are few, and a
   * scale-out of hundreds must not take more than some seconds.
   */
  scaleOut(unmet: readonly UnmetDemand[], out: Effect[]): void {
    for (const { offer, shard, machineCount, demand } of this.scaleOuts(unmet)) {
      const { type, zone, spot } = offer;
      const total = Math.ceil(machineCount - roundingTolerance);
      for (let left = total; left > 0; left -= maxMachinesPerRequest) {
        if (!this.budget.tryAcquire()) return;
        const count = Math.min(maxMachinesPerRequest, left);
        const request = { name: this.nextRequestName(), type: type.name, zone, spot, count };
        this.pending.set(request.name, { request, shard, expectedCount: count });
        const { id, urgency } = demand.spec;
        this.context.log('info', 'renting', { ...request, job: id, urgency: urgencyRank[urgency] });
        out.push({ type: 'rent-machines', request });
      }
    }
  }

  /** The machines to request, by shard and offer, in the order in which demand first asked for them. */
  private scaleOuts(unmet: readonly UnmetDemand[]): Iterable<ScaleOut> {
    const machinesPerZone = new Map<string, number>();
    const addToZone = (zone: string, count: number): void =>
      void machinesPerZone.set(zone, (machinesPerZone.get(zone) ?? 0) + count);
    for (const { zone } of this.context.replica.machines.values()) addToZone(zone, 1);
    const scaleOuts = new Map<string, ScaleOut>();
    for (const demand of unmet) {
      if (demand.count <= 0) continue;
      const fleet = { machinesPerZone, hazardPerStep: this.hazardPerStep() };
      const offer = bestOffer(this.context, this.availability, demand, fleet);
      if (!offer) continue;
      const { shard } = demand;
      const key = `${shard} ${offerKey(offer.type.name, offer.zone, offer.spot)}`;
      let scaleOut = scaleOuts.get(key);
      if (!scaleOut) scaleOuts.set(key, (scaleOut = { offer, shard, demand, machineCount: 0 }));
      const machineCount = demand.count / fitCount(demand.spec, offer.type);
      scaleOut.machineCount += machineCount;
      addToZone(offer.zone, machineCount);
    }
    return scaleOuts.values();
  }

  /** Unique among all leaders' requests: the name begins with the leader's fencing token. */
  private nextRequestName(): string {
    const { replica } = this.context;
    return `r-${replica.tokenBase + replica.leader!.modRevision}-${++this.requestCount}`;
  }

  /** The cloud's answer to a request. */
  handleOutcome(request: RentRequest, outcome: RentalOutcome): void {
    const { log } = this.context;
    const offer = offerKey(request.type, request.zone, request.spot);
    this.budget.recordOutcome(outcome.type === 'rented' || outcome.type === 'no-capacity');
    switch (outcome.type) {
      case 'rented':
        log('info', 'rented', { ...request, hosts: outcome.hosts });
        this.availability.recordCapacity(offer, outcome.hosts.length >= request.count);
        this.recordMachines(request, outcome.hosts);
        break;
      case 'no-capacity':
        log('info', 'no capacity', { ...request });
        this.availability.recordNoCapacity(offer);
        this.pending.delete(request.name);
        break;
      case 'rejected':
        this.pending.delete(request.name);
        break;
      case 'unknown':
        // It may have been executed, or may still be.
        if (this.pending.has(request.name)) this.unanswered.push(request);
        break;
    }
  }

  private recordMachines(request: RentRequest, hosts: string[]): void {
    const { type, zone, spot } = request;
    const pending = this.pending.get(request.name);
    // Guards against requesting the same again while the record is being written: until then the machines are expected.
    if (pending && hosts.length > 0) pending.expectedCount = hosts.length;
    else this.pending.delete(request.name);
    if (hosts.length === 0) return;
    if (!pending) {
      const since = this.context.clock.wall;
      for (const host of hosts)
        this.records.addMachine({ host, type, zone, spot, shard: -1, state: 'free', since });
      return;
    }
    for (const host of hosts) this.unrecordedHosts.add(host);
    this.records.addBlock(request, hosts, pending.shard, () => {
      this.pending.delete(request.name);
      for (const host of hosts) this.unrecordedHosts.delete(host);
    });
  }
}
