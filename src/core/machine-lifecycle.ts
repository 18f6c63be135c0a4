/** The lifecycle of machines: expiry of worker leases, and release of machines that are idle, lost, faulty or reclaimed. */
import type { Settings } from '../config/settings.js';
import { pricePerCpu } from '../policy/pricing.js';
import type { ShardState } from './shard-state/shard-state.js';
import type { ScheduledMachine } from './shard-state/types.js';
import {
  type TransactionBatcher,
  machineData,
  machineKey,
  WritePriority,
  shardKey,
} from './storage/index.js';

/** The margin for clock drift, ms per second of the lease; monotonic clocks differ by up to 0.05%. */
const clockDriftMsPerS = 1.5;

/** The margin for a worker that checks its lease late, ms. */
const lateLeaseCheckMs = 1000;

/** A machine that has never reported is given up after this many times its boot time, plus a worker lease. */
const bootTimeoutFactor = 4;

/** The minimum share of the full idle time, which applies to the most expensive machines. */
const minIdleShare = 0.5;

/** The state of a machine that a shard releases: `free` machines go to the leader for other shards, `dead` ones are deleted. */
type ReleasedState = 'free' | 'dead';

/** The decision to release a machine: its next state, and the reason. */
interface ReleaseDecision {
  readonly state: ReleasedState;
  readonly reason: string;
}

/** Supervises the machines of the owned shards. */
export class MachineLifecycle {
  private readonly workers: Settings['workers'];

  constructor(
    private readonly shardState: ShardState,
    private readonly batcher: TransactionBatcher,
  ) {
    this.workers = shardState.settings.workers;
  }

  /** Removes placements whose worker leases have expired, and releases machines that are silent, quarantined, reclaimed or idle. */
  sweep(elapsedS: number): void {
    const { shardState } = this;
    let spotMachines = 0;
    shardState.removeExpiredPlacements();
    for (const machine of shardState.machines.values()) {
      if (machine.record.spot && machine.lastHeartbeatAt > 0) spotMachines++;
      this.removeIfLeaseExpired(machine);
      if (machine.placements.size === 0 && this.isKeptWhileIdle(machine))
        machine.idleSince = shardState.clock.now;
      if (machine.record.state !== 'use' || machine.releasing) continue;
      const decision = this.decideRelease(machine);
      if (decision) this.release(machine, decision);
    }
    shardState.hazard.observe(spotMachines, elapsedS);
  }

  private removeIfLeaseExpired(machine: ScheduledMachine): void {
    const { clock, log } = this.shardState;
    const driftMs = this.workers.lease_s * clockDriftMsPerS;
    const isExpired = clock.now > machine.earliestLeaseExpiry + driftMs + lateLeaseCheckMs;
    if (machine.placements.size === 0 || !isExpired) return;
    log('info', 'worker lease expired: removing the placements of a silent machine', {
      host: machine.host,
      silentS: this.silentS(machine),
    });
    this.shardState.removeLostPlacements([...machine.placements.values()], 'lease expired');
  }

  /**
   * Whether the idle time of a machine does not count. While no tasks can be placed, as in an outage, idle machines are kept for the
   * work that waits. Machines that are reserved for a waiting gang are kept, because they would be released and requested again
   * immediately.
   */
  private isKeptWhileIdle({ host }: ScheduledMachine): boolean {
    return !this.shardState.canPlaceTasks() || this.shardState.reservations.byHost.has(host);
  }

  private silentS(machine: ScheduledMachine): number {
    return (this.shardState.clock.now - machine.lastHeartbeatAt) / 1000;
  }

  /** Decides whether a machine is released; null if not. Machines of a pool are not released for being silent or idle. */
  private decideRelease(machine: ScheduledMachine): ReleaseDecision | null {
    const { clock, hazard, settings } = this.shardState;
    const hasReported = machine.lastHeartbeatAt > 0;
    const isEmpty = machine.placements.size === 0;
    if (!settings.pool && this.isSilent(machine)) {
      if (machine.record.spot && hasReported && machine.reclaimAt === 0) hazard.recordInterruption();
      return { state: 'dead', reason: hasReported ? 'silent' : 'never reported' };
    }
    if (machine.quarantined && isEmpty) return { state: 'dead', reason: 'quarantined' };
    if (machine.reclaimAt > 0 && isEmpty) return { state: 'dead', reason: 'reclaim notice' };
    if (settings.pool || !isEmpty || machine.confirmedAt <= 0) return null;
    return clock.now - machine.idleSince > this.maxIdleMs(machine) ? { state: 'free', reason: 'idle' } : null;
  }

  private isSilent(machine: ScheduledMachine): boolean {
    const { lease_s, report_s } = this.workers;
    if (machine.lastHeartbeatAt > 0) return this.silentS(machine) > lease_s + 2 * report_s;
    // The time counts from the acquisition: a machine may already be up and have reported to the earlier owner only.
    const ownedS = (this.shardState.clock.now - machine.acquiredAt) / 1000;
    return ownedS > machine.type.bootS * bootTimeoutFactor + lease_s;
  }

  /**
   * How long an idle machine is kept: in proportion to the time until a replacement could be used (boot and fetching the largest
   * image), and down to half of that for the most expensive machines.
   */
  private maxIdleMs(machine: ScheduledMachine): number {
    const { operators, replica } = this.shardState;
    const cheapest = Math.min(...replica.machineTypes.map(pricePerCpu));
    const replacementS = machine.type.bootS + Math.max(0, ...machine.images.values());
    const idleShare = Math.max(minIdleShare, cheapest / pricePerCpu(machine.type));
    return operators['idle-boots'] * idleShare * replacementS * 1000;
  }

  /** Releases a machine to the leader, which assigns free machines to other shards and deletes dead ones. */
  private release(machine: ScheduledMachine, { state, reason }: ReleaseDecision): void {
    const { host } = machine;
    const { log, machines, ownedShards, replica } = this.shardState;
    machine.releasing = true;
    log('info', 'releasing machine', { host, standing: state, why: reason });
    const key = machineKey(host);
    this.batcher.enqueue({
      priority: WritePriority.provisioning,
      build: () => {
        const { record, placements } = machine;
        const grant = replica.shards.get(record.shard);
        const isStillOwned = machines.get(host) === machine && ownedShards.has(record.shard);
        if (!grant || !isStillOwned || (state === 'free' && placements.size > 0)) {
          machine.releasing = false;
          return null;
        }
        const shard = state === 'free' ? -1 : record.shard;
        return {
          conditions: [
            { key, stamp: replica.modRevisionOf(key) },
            { key: shardKey(record.shard), stamp: grant.modRevision },
          ],
          writes: [{ key, data: machineData({ ...record, shard, state }) }],
        };
      },
      onCommitted: () => undefined,
      onConflict: () => {
        machine.releasing = false;
      },
    });
  }
}
