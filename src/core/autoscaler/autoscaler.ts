/** The autoscaler: the leader's control loop that fits the fleet to the demand of all shards. */
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
import { DemandCalculator } from './demand.js';
import { FleetRecords } from './fleet-records.js';
import { MachineInventory } from './inventory.js';
import { OfferAvailability } from './offers.js';
import { Provisioner } from './provisioning.js';
import { CloudRequestBudget } from './request-budget.js';
import { ScaleIn } from './scale-in.js';
import { assignFreeMachines, assignPoolMachines, type FreeMachine } from './shard-assignment.js';

/** What the autoscaler is made of. */
export interface AutoscalerOptions {
  readonly settings: Settings;
  readonly operators: OperatorSettings;
  readonly replica: Replica;
  readonly batcher: TransactionBatcher;
  readonly clock: Clock;
  /** How requests to the cloud are repeated. */
  readonly retry: RetryPolicy;
  readonly random: Random;
  readonly log: Log;
}

/** Machines on a page of the cloud's listing. */
const listingPageSize = 500;
const planningIntervalMs = 1000;
/** How often machine types are requested while none is known. */
const initialTypesIntervalMs = 500;
/** Machine types are requested anew after so many worker leases. */
const typesIntervalLeases = 2;
/** A smaller relative change of a price is not recorded. */
const priceTolerance = 0.01;

/**
 * Decides, as the leader, which machines to request for which shard, to which shard free machines are assigned, and which
 * machines to delete. The demand is calculated from the replica, which every controller has, so that a new leader needs
 * nothing from the one before.
 */
export class Autoscaler {
  private readonly context: AutoscalerContext;
  private readonly budget: CloudRequestBudget;
  private readonly records: FleetRecords;
  private readonly availability: OfferAvailability;
  private readonly provisioner: Provisioner;
  private readonly scaleIn: ScaleIn;
  private readonly inventory: MachineInventory;
  private typesRequestedAt = -Infinity;
  private isRequestingTypes = false;
  private listingRequestedAt = -Infinity;
  private isListing = false;
  private plannedAt = -Infinity;

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

  /** The rate at which spot machines are reclaimed, for one step of the policy's hazard model. */
  set hazardPerStep(hazardPerStep: () => number) {
    this.provisioner.hazardPerStep = hazardPerStep;
  }

  /** Whether surplus machines may be deleted: not while something may run on them that is not known. */
  set mayScaleIn(mayScaleIn: () => boolean) {
    this.scaleIn.mayScaleIn = mayScaleIn;
  }

  /** Forgets what only matters under one leadership. */
  reset(): void {
    this.provisioner.reset();
    this.scaleIn.reset();
    this.inventory.reset();
    this.isListing = false;
    this.isRequestingTypes = false;
    this.listingRequestedAt = -Infinity;
    this.typesRequestedAt = -Infinity;
  }

  /** One step of the control loop, as the leader. */
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

  /** Whether a request that changes the fleet, or a change of its records, waits for its outcome. */
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
    // Each further page is a request, too.
    this.budget.charge(Math.floor(replica.machines.size / listingPageSize));
    out.push({ type: 'list-machines' });
  }

  /** One planning cycle: assigns free machines to unmet demand, and requests machines for the rest of it. */
  private plan(out: Effect[]): void {
    if (this.context.settings.pool) return assignPoolMachines(this.context, this.records);
    const demand = new DemandCalculator(this.context, this.availability);
    const free = this.addFleet(demand);
    const unmet = demand.unmet();
    this.scaleIn.surplus = assignFreeMachines(this.context, this.records, free, unmet);
    this.provisioner.scaleOut(unmet, out);
  }

  /** Adds all machines that are there or expected to a calculation of demand. Returns those that have no shard. */
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

  /** The cloud's answer to a request for its machine types; null: none came. */
  handleMachineTypes(types: MachineType[] | null): void {
    this.isRequestingTypes = false;
    this.budget.recordOutcome(types !== null);
    if (!types || types.length === 0) return;
    if (!sameMachineTypes(types, this.context.replica.machineTypes)) this.records.writeMachineTypes(types);
  }

  /** The cloud's answer to a request for machines. */
  handleRental(request: RentRequest, outcome: RentalOutcome): void {
    this.provisioner.handleOutcome(request, outcome);
    // The next best offer is tried at once.
    if (outcome.type === 'no-capacity') this.plannedAt = -Infinity;
  }

  /** The cloud's answer to a deletion. */
  handleDeletion(hosts: readonly string[], succeeded: boolean): void {
    this.scaleIn.handleOutcome(hosts, succeeded);
  }

  /** The cloud's answer to a request for its list of machines, sent at `requestedAt`; null: none came. */
  handleListing(listed: readonly ListedMachine[] | null, requestedAt: number): void {
    this.isListing = false;
    this.budget.recordOutcome(listed !== null);
    if (listed) this.inventory.reconcile(listed, requestedAt);
  }

  /** A worker whose machine has no record reports to the leader. */
  adoptReportingMachine(heartbeat: Heartbeat): void {
    this.inventory.adoptReportingMachine(heartbeat);
  }

  /** A worker has reported to this controller. */
  recordHeartbeat(host: string): void {
    this.inventory.recordHeartbeat(host);
  }

  /** An operator states that a machine is gone, with all tasks on it. */
  forgetMachine(host: string): void {
    this.inventory.forgetMachine(host);
  }
}

/** Whether machine types are the recorded ones, but for small changes of their prices. */
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
