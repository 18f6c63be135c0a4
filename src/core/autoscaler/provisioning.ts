/** Scale-out: requests machines from the cloud for unmet demand, and tracks each request until its machines are recorded. */
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

/** Maximum number of machines in one request. */
const maxMachinesPerRequest = 50;
/** Tolerance in machines, since floating-point sums of fractions of machines may miss a whole number. */
const roundingTolerance = 1e-6;

/** A request whose machines are not recorded yet. */
export interface PendingRental {
  readonly request: RentRequest;
  readonly shard: number;
  /** Number of machines that the request is expected to yield, as far as known. */
  expectedCount: number;
}

/** The machines of one offer to be requested for a shard. */
interface ScaleOut {
  readonly offer: MachineOffer;
  readonly shard: number;
  /** The first demand that needs them; for the log. */
  readonly demand: UnmetDemand;
  /** May be fractional, since small tasks of several jobs share a machine. */
  machineCount: number;
}

/** Requests machines and tracks the requests; used by the leader only. */
export class Provisioner {
  /** Pending requests by name. */
  private readonly pending = new Map<string, PendingRental>();
  /** Requests without an answer, whose outcome is unknown. */
  private unanswered: RentRequest[] = [];
  /** Machines that the cloud has provided and whose record is still being written. */
  private readonly unrecordedHosts = new Set<string>();
  private requestCount = 0;
  /** Rate at which spot machines are reclaimed, per step of the hazard model. */
  hazardPerStep: () => number = () => 0;

  constructor(
    private readonly context: AutoscalerContext,
    private readonly budget: CloudRequestBudget,
    private readonly records: FleetRecords,
    private readonly availability: OfferAvailability,
  ) {}

  /** Drops the state of requests that were sent during an earlier leadership. */
  reset(): void {
    this.pending.clear();
    this.unanswered = [];
    this.availability.clear();
  }

  /** Requests whose machines are not recorded yet; demand counts these machines as expected. */
  get pendingRentals(): ReadonlyMap<string, PendingRental> {
    return this.pending;
  }

  /** Whether the record of a provided machine is still being written. */
  isUnrecorded(host: string): boolean {
    return this.unrecordedHosts.has(host);
  }

  /** Whether a machine of this offer may belong to a pending request. */
  mayBePending(offer: string): boolean {
    for (const { request } of this.pending.values())
      if (offerKey(request.type, request.zone, request.spot) === offer) return true;
    return false;
  }

  /** Retries unanswered requests. Their names make them idempotent, so the answer also tells the outcome of the first attempt. */
  retryUnanswered(out: Effect[]): void {
    while (this.unanswered.length > 0 && this.budget.tryAcquire())
      out.push({ type: 'rent-machines', request: this.unanswered.shift()! });
  }

  /**
   * Requests machines for unmet demand. Jobs with the same best offer share a request, because the request rate is limited
   * and adding hundreds of machines must not take more than a few seconds.
   */
  scaleOut(unmet: readonly UnmetDemand[], out: Effect[]): void {
    for (const { offer, shard, machineCount, demand } of this.scaleOuts(unmet)) {
      const { type, zone, spot } = offer;
      // At least one, even if thousands of such tasks fit on a machine.
      const total = Math.max(1, Math.ceil(machineCount - roundingTolerance));
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

  /** The machines to request by shard and offer, in the order of the first demand for each. */
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

  /** Returns a request name that is unique among all leaders, since it starts with the leader's fencing token. */
  private nextRequestName(): string {
    const { replica } = this.context;
    return `r-${replica.tokenBase + replica.leader!.modRevision}-${++this.requestCount}`;
  }

  /** Handles the outcome of a request. */
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
        // The request may have been executed, or may be executed later.
        if (this.pending.has(request.name)) this.unanswered.push(request);
        break;
    }
  }

  private recordMachines(request: RentRequest, hosts: string[]): void {
    const { type, zone, spot } = request;
    const pending = this.pending.get(request.name);
    // Until the record is written, the machines count as expected, so that they are not requested a second time.
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
