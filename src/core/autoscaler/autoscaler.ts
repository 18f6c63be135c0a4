/** The autoscaler: the leader's control loop that adapts the fleet to the demand of all shards. */
import type { OperatorSettings } from '../../config/operators.js';
import type { Settings } from '../../config/settings.js';
import type { Heartbeat } from '../../model/heartbeat.js';
import type { MachineType } from '../../model/machine.js';
import { RetryBackoff, type Random, type RetryPolicy } from '../../retry/index.js';
import type { ListedMachine, RentalOutcome, RentRequest } from '../../wire/cloud.js';
import type { Clock, Effect, Log } from '../effects.js';
import type { Replica } from '../replica.js';
import type { TransactionBatcher } from '../storage/index.js';
import type { AutoscalerContext } from './context.js';
import type { DemandReport } from './demand-report.js';
import { DemandCalculator, type DemandHistory } from './demand.js';
import { FleetRecords } from './fleet-records.js';
import { MachineInventory } from './inventory.js';
import { OfferAvailability } from './offers.js';
import { PlacementAges } from './placement-ages.js';
import { Provisioner } from './provisioning.js';
import { CloudRequestBudget } from './request-budget.js';
import { ScaleIn } from './scale-in.js';
import { assignFreeMachines, assignPoolMachines, type FreeMachine } from './shard-assignment.js';
import { StallDetector } from './stall-detector.js';

/** Dependencies of the autoscaler. */
export interface AutoscalerOptions {
  readonly settings: Settings;
  readonly operators: OperatorSettings;
  readonly replica: Replica;
  readonly batcher: TransactionBatcher;
  readonly clock: Clock;
  /** Retry policy for requests to the cloud. */
  readonly retry: RetryPolicy;
  readonly random: Random;
  readonly log: Log;
}

/** Number of machines on one page of the cloud's listing. */
const listingPageSize = 500;
/** Interval between planning cycles. */
const planningIntervalMs = 1000;
/** Interval between requests for machine types while none are known. */
const initialTypesIntervalMs = 500;
/** Interval between requests for machine types once they are known, in worker leases. */
const typesIntervalLeases = 2;
/** Interval between demand reports in the log, in worker leases. */
const reportIntervalLeases = 0.5;
/** Relative price change up to which machine types count as unchanged and are not written. */
const priceTolerance = 0.01;

/**
 * Decides which machines to request for which shard, which shard each free machine is assigned to, and which machines to
 * delete; runs on the leader only. The demand is calculated from the replica, which every controller has, so that a new
 * leader needs no state from its predecessor; what it observes over time (ages of placements, stalled jobs) starts anew.
 */
export class Autoscaler {
  private readonly context: AutoscalerContext;
  private readonly budget: CloudRequestBudget;
  private readonly records: FleetRecords;
  private readonly availability: OfferAvailability;
  private readonly provisioner: Provisioner;
  private readonly scaleIn: ScaleIn;
  private readonly inventory: MachineInventory;
  private readonly demandHistory: DemandHistory = {
    ages: new PlacementAges(),
    stalls: new StallDetector(),
  };
  private typesRequestedAt = -Infinity;
  private isRequestingTypes = false;
  private listingRequestedAt = -Infinity;
  private isListing = false;
  private plannedAt = -Infinity;
  private reportedAt = -Infinity;

  constructor(options: AutoscalerOptions) {
    const { settings, operators, replica, batcher, clock, retry, random, log } = options;
    this.context = { settings, operators, replica, clock, log };
    this.budget = new CloudRequestBudget(settings.cloud.rps, new RetryBackoff(retry, random), clock);
    this.records = new FleetRecords(this.context, batcher);
    this.availability = new OfferAvailability(this.context);
    this.provisioner = new Provisioner(this.context, this.budget, this.records, this.availability);
    this.scaleIn = new ScaleIn(this.context, this.budget, this.records);
    this.inventory = new MachineInventory(this.context, this.records, this.provisioner, this.scaleIn);
  }

  /** Sets the source of the rate at which spot machines are reclaimed, per step of the hazard model. */
  set hazardPerStep(hazardPerStep: () => number) {
    this.provisioner.hazardPerStep = hazardPerStep;
  }

  /** Sets the check whether surplus machines may be deleted. It must fail while tasks without a record may run on them. */
  set mayScaleIn(mayScaleIn: () => boolean) {
    this.scaleIn.mayScaleIn = mayScaleIn;
  }

  /** Resets the state that is only valid during one leadership. */
  reset(): void {
    this.provisioner.reset();
    this.scaleIn.reset();
    this.inventory.reset();
    this.demandHistory.ages.clear();
    this.demandHistory.stalls.clear();
    this.isListing = false;
    this.isRequestingTypes = false;
    this.listingRequestedAt = -Infinity;
    this.typesRequestedAt = -Infinity;
  }

  /** Runs one step of the control loop; called on the leader only. */
  tick(out: Effect[]): void {
    const { clock, replica } = this.context;
    this.budget.refill();
    this.requestMachineTypes(out);
    if (replica.machineTypes.length === 0) return;
    this.requestListing(out);
    this.scaleIn.tick(out);
    this.provisioner.retryUnanswered(out);
    if (clock.now - this.plannedAt >= planningIntervalMs && replica.shards.size > 0) {
      this.plannedAt = clock.now;
      this.plan(out);
    }
  }

  /** Whether a request that changes the fleet, or a write of its records, is in progress. */
  get hasPendingChanges(): boolean {
    return this.provisioner.pendingRentals.size > 0 || this.scaleIn.hasPending || this.records.hasPending;
  }

  private requestMachineTypes(out: Effect[]): void {
    const { clock, replica, settings } = this.context;
    const intervalMs =
      replica.machineTypes.length === 0
        ? initialTypesIntervalMs
        : settings.workers.lease_s * 1000 * typesIntervalLeases;
    if (this.isRequestingTypes || clock.now - this.typesRequestedAt <= intervalMs) return;
    if (!this.budget.tryAcquire()) return;
    this.isRequestingTypes = true;
    this.typesRequestedAt = clock.now;
    out.push({ type: 'list-machine-types' });
  }

  private requestListing(out: Effect[]): void {
    const { clock, replica, settings } = this.context;
    if (this.isListing || clock.now - this.listingRequestedAt <= settings.cloud.list_lag_s * 1000) return;
    if (!this.budget.tryAcquire()) return;
    this.isListing = true;
    this.listingRequestedAt = clock.now;
    // Each page after the first is a request of its own.
    this.budget.charge(Math.floor(replica.machines.size / listingPageSize));
    out.push({ type: 'list-machines' });
  }

  /** Runs one planning cycle: assigns free machines to unmet demand, and requests machines for the remaining demand. */
  private plan(out: Effect[]): void {
    if (this.context.settings.pool) return assignPoolMachines(this.context, this.records);
    const demand = new DemandCalculator(this.context, this.availability, this.demandHistory);
    const free = this.addFleet(demand);
    const unmet = demand.unmet();
    this.logDemand(demand.report);
    this.scaleIn.surplus = assignFreeMachines(this.context, this.records, free, unmet);
    this.provisioner.scaleOut(unmet, out);
  }

  /** Logs, at intervals, what the waiting tasks are expected to run on. */
  private logDemand(report: DemandReport): void {
    const { clock, log, settings } = this.context;
    const intervalMs = settings.workers.lease_s * 1000 * reportIntervalLeases;
    if (report.isEmpty || clock.now - this.reportedAt < intervalMs) return;
    this.reportedAt = clock.now;
    log('info', 'demand', { classes: report.classes });
  }

  /** Adds all existing and expected machines to a demand calculation. Returns the machines that have no shard. */
  private addFleet(demand: DemandCalculator): FreeMachine[] {
    const { replica } = this.context;
    const free: FreeMachine[] = [];
    const types = new Map(replica.machineTypes.map((type) => [type.name, type]));
    for (const machine of replica.machines.values()) {
      const type = types.get(machine.type);
      if (!type || machine.state === 'dead' || this.scaleIn.isDeleting(machine.host)) continue;
      if (machine.state === 'use') demand.addMachine(machine, type);
      else if (!this.records.isMachinePending(machine.host)) free.push({ machine, type });
    }
    for (const { request, shard, expectedCount } of this.provisioner.pendingRentals.values()) {
      const type = types.get(request.type);
      if (!type) continue;
      const { zone, spot } = request;
      demand.addExpectedMachines(shard, { type, zone, spot }, expectedCount);
    }
    demand.subtractPlacements();
    return free;
  }

  /** Handles the cloud's answer to a request for its machine types; null: there was no answer. */
  handleMachineTypes(types: MachineType[] | null): void {
    this.isRequestingTypes = false;
    this.budget.recordOutcome(types !== null);
    if (!types || types.length === 0) return;
    if (!sameMachineTypes(types, this.context.replica.machineTypes)) this.records.writeMachineTypes(types);
  }

  /** Handles the cloud's answer to a request for machines. */
  handleRental(request: RentRequest, outcome: RentalOutcome): void {
    this.provisioner.handleOutcome(request, outcome);
    // Plan again in the next step, to try the next best offer.
    if (outcome.type === 'no-capacity') this.plannedAt = -Infinity;
  }

  /** Handles the cloud's answer to a deletion request. */
  handleDeletion(hosts: readonly string[], succeeded: boolean): void {
    this.scaleIn.handleOutcome(hosts, succeeded);
  }

  /** Handles the cloud's answer to a listing request sent at `requestedAt`, ms; null: there was no answer. */
  handleListing(listed: readonly ListedMachine[] | null, requestedAt: number): void {
    this.isListing = false;
    this.budget.recordOutcome(listed !== null);
    if (listed) this.inventory.reconcile(listed, requestedAt);
  }

  /** Handles a heartbeat, received by the leader, of a worker whose machine has no record. */
  adoptReportingMachine(heartbeat: Heartbeat): void {
    this.inventory.adoptReportingMachine(heartbeat);
  }

  /** Records a worker's heartbeat to this controller. */
  recordHeartbeat(host: string): void {
    this.inventory.recordHeartbeat(host);
  }

  /** Marks a machine dead because an operator has declared it and all tasks on it gone. */
  forgetMachine(host: string): void {
    this.inventory.forgetMachine(host);
  }
}

/** Whether machine types equal the recorded ones, ignoring small price changes. */
function sameMachineTypes(types: readonly MachineType[], recorded: readonly MachineType[]): boolean {
  const differs = (a: number, b: number): boolean => Math.abs(a - b) > priceTolerance * Math.max(a, b);
  return (
    types.length === recorded.length &&
    types.every((type, i) => {
      const known = recorded[i];
      return (
        known.name === type.name &&
        known.cpus === type.cpus &&
        !differs(known.price, type.price) &&
        !differs(known.spotPrice, type.spotPrice)
      );
    })
  );
}
