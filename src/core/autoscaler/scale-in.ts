/** Scale-in: deletes machines that are marked dead or surplus. */
import type { VersionedMachine } from '../replica.js';
import type { Effect } from '../effects.js';
import type { AutoscalerContext } from './context.js';
import type { FleetRecords } from './fleet-records.js';
import type { CloudRequestBudget } from './request-budget.js';

/** Maximum number of machines in one deletion request. */
const maxMachinesPerRequest = 100;
/** Minimum interval between deletion requests. */
const deletionIntervalMs = 250;
/**
 * How many recently deleted machines are remembered, so that a listing older than their deletion does not add them again.
 * Larger than the largest fleet, because the whole fleet may be deleted within one listing lag.
 */
const maxRememberedDeletions = 20_000;

/** Requests deletions of machines and tracks them; used by the leader only. */
export class ScaleIn {
  private readonly deleting = new Set<string>();
  /** Hosts whose deletion was requested, in insertion order, so that the oldest is evicted first. */
  private readonly recentlyDeleted = new Set<string>();
  private lastRunAt = -Infinity;
  /** Free machines that the last planning cycle could not assign to any demand. */
  surplus: ReadonlySet<string> = new Set();
  /** Whether surplus machines may be deleted. Must be false while tasks that have no record may run on them. */
  mayScaleIn: () => boolean = () => true;

  constructor(
    private readonly context: AutoscalerContext,
    private readonly budget: CloudRequestBudget,
    private readonly records: FleetRecords,
  ) {}

  /** Drops the state of requests that were sent during an earlier leadership. */
  reset(): void {
    this.deleting.clear();
  }

  /** Whether any deletion request is unanswered. */
  get hasPending(): boolean {
    return this.deleting.size > 0;
  }

  /** Whether the deletion request for a machine is unanswered. */
  isDeleting(host: string): boolean {
    return this.deleting.has(host);
  }

  /** Whether the deletion of a machine was requested recently, so that a listing or heartbeat of it may be outdated. */
  wasRecentlyDeleted(host: string): boolean {
    return this.recentlyDeleted.has(host);
  }

  /** Requests the next batch of deletions, if one is due. */
  tick(out: Effect[]): void {
    const { clock, replica, log } = this.context;
    if (clock.now - this.lastRunAt < deletionIntervalMs) return;
    this.lastRunAt = clock.now;
    const hosts: string[] = [];
    for (const machine of replica.machines.values()) {
      if (!this.isDeletable(machine)) continue;
      hosts.push(machine.host);
      if (hosts.length >= maxMachinesPerRequest) break;
    }
    if (hosts.length === 0 || !this.budget.tryAcquire()) return;
    for (const host of hosts) {
      this.deleting.add(host);
      this.rememberDeletion(host);
    }
    log('info', 'returning', { hosts });
    out.push({ type: 'delete-machines', hosts });
  }

  private isDeletable({ host, state }: VersionedMachine): boolean {
    if (this.deleting.has(host) || this.records.isMachinePending(host)) return false;
    if (state === 'dead') return true;
    return state === 'free' && !this.context.settings.pool && this.mayScaleIn() && this.surplus.has(host);
  }

  private rememberDeletion(host: string): void {
    this.recentlyDeleted.add(host);
    if (this.recentlyDeleted.size > maxRememberedDeletions)
      this.recentlyDeleted.delete(this.recentlyDeleted.values().next().value!);
  }

  /** Handles the cloud's answer to a deletion request. After a failure the machines are requested for deletion again later. */
  handleOutcome(hosts: readonly string[], succeeded: boolean): void {
    this.budget.recordOutcome(succeeded);
    for (const host of hosts) this.deleting.delete(host);
    if (succeeded) this.records.removeMachines(hosts);
  }
}
