/** Scale in: deletes machines that are dead, or that nothing has a use for. */
import type { VersionedMachine } from '../replica.js';
import type { Effect } from '../effects.js';
import type { AutoscalerContext } from './context.js';
import type { FleetRecords } from './fleet-records.js';
import type { CloudRequestBudget } from './request-budget.js';

/** Machines that one request deletes at most. */
const maxMachinesPerRequest = 100;
const deletionIntervalMs = 250;
/**
 * Deleted machines that are remembered, so that a listing that is older than their deletion does not bring them back. More
 * than the largest fleet: all of it may be deleted within one listing lag.
 */
const maxRememberedDeletions = 20_000;

/** The leader's deletions of machines. */
export class ScaleIn {
  private readonly deleting = new Set<string>();
  /** Oldest first. */
  private readonly recentlyDeleted = new Set<string>();
  private lastRunAt = -Infinity;
  /** Free machines for which the last planning cycle found no use. */
  surplus: ReadonlySet<string> = new Set();
  /** Whether surplus machines may be deleted: not while something may run on them that is not known. */
  mayScaleIn: () => boolean = () => true;

  constructor(
    private readonly context: AutoscalerContext,
    private readonly budget: CloudRequestBudget,
    private readonly records: FleetRecords,
  ) {}

  /** Forgets the requests of an earlier leadership. */
  reset(): void {
    this.deleting.clear();
  }

  /** Whether any deletion waits for its answer. */
  get hasPending(): boolean {
    return this.deleting.size > 0;
  }

  /** Whether the deletion of a machine waits for its answer. */
  isDeleting(host: string): boolean {
    return this.deleting.has(host);
  }

  /** Whether the deletion of a machine was requested lately: a listing or a heartbeat of it may be outdated. */
  wasRecentlyDeleted(host: string): boolean {
    return this.recentlyDeleted.has(host);
  }

  /** Requests the next deletions, if it is time. */
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

  /** The cloud's answer to a deletion. Without success the machines are deleted again later. */
  handleOutcome(hosts: readonly string[], succeeded: boolean): void {
    this.budget.recordOutcome(succeeded);
    for (const host of hosts) this.deleting.delete(host);
    if (succeeded) this.records.removeMachines(hosts);
  }
}
