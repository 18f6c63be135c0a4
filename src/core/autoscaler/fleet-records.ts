/** The leader's writes of machine records. Each write is conditional on the leadership under which it was decided. */
import type { MachineRecord, MachineType } from '../../model/machine.js';
import type { RentRequest } from '../../wire/cloud.js';
import type { Write } from '../../wire/store.js';
import type { VersionedMachine } from '../replica.js';
import {
  blockData,
  blockKey,
  machineData,
  machineKey,
  machineTypesData,
  type TransactionBatcher,
  WritePriority,
} from '../storage/index.js';
import type { AutoscalerContext } from './context.js';

/**
 * Writes the records of machines, of blocks (one record for all machines of a rental) and of machine types. A conflict means
 * that the replica was outdated: the write is not retried, and the next planning cycle decides again.
 */
export class FleetRecords {
  /** Names of the changes in progress; at most one change per name at a time. */
  private readonly pending = new Set<string>();

  constructor(
    private readonly context: AutoscalerContext,
    private readonly batcher: TransactionBatcher,
  ) {}

  /** Whether any change is in progress. */
  get hasPending(): boolean {
    return this.pending.size > 0;
  }

  /** Whether a change of a machine's own record is in progress. */
  isMachinePending(host: string): boolean {
    return this.pending.has(machineKey(host));
  }

  /** Stores the machine types that the cloud offers. */
  writeMachineTypes(types: MachineType[]): void {
    const { replica } = this.context;
    this.write('types', () => [{ key: replica.activeTypesKey, data: machineTypesData(types) }]);
  }

  /** Adds a record for a machine that has none. */
  addMachine(machine: MachineRecord): void {
    const { machines } = this.context.replica;
    const key = machineKey(machine.host);
    if (machines.has(machine.host)) return;
    this.write(key, () => (machines.has(machine.host) ? null : [{ key, data: machineData(machine) }]));
  }

  /**
   * Writes a machine's own record. `update` derives it from the machine's state when the write is sent; it returns null for no
   * change.
   */
  updateMachine(host: string, update: (current: VersionedMachine) => MachineRecord | null): void {
    const key = machineKey(host);
    this.write(key, () => {
      const current = this.context.replica.machines.get(host);
      const next = current ? update(current) : null;
      return next && [{ key, data: machineData(next) }];
    });
  }

  /** Assigns a free machine to a shard, unless it has been assigned or marked dead in the meantime. */
  assignToShard(host: string, shard: number): void {
    this.updateMachine(host, (current) =>
      current.state === 'free' ? { ...current, shard, state: 'use' } : null,
    );
  }

  /** Stores all machines of one rental in a single record, so that adding hundreds of machines does not take hundreds of writes. */
  addBlock(request: RentRequest, hosts: string[], shard: number, onSettled: () => void): void {
    const { type, zone, spot } = request;
    const since = this.context.clock.wall;
    const key = blockKey(request.name);
    this.write(
      key,
      () => {
        const isRecorded = this.context.replica.modRevisionOf(key) > 0;
        return isRecorded ? null : [{ key, data: blockData({ type, zone, spot, shard, since, hosts }) }];
      },
      onSettled,
    );
  }

  /** Removes deleted machines from the records: their own records and those of their blocks. */
  removeMachines(hosts: readonly string[]): void {
    const { replica, settings } = this.context;
    const byBlock = new Map<string, string[]>();
    for (const host of hosts) {
      if (!replica.machines.has(host)) continue;
      const block = replica.blockOf(host);
      if (block === undefined) this.write(machineKey(host), () => this.machineRemoval(host));
      else byBlock.set(block, [...(byBlock.get(block) ?? []), host]);
    }
    // A block and its machines' own records are changed in one transaction, as far as the maximum transaction size allows.
    const maxHosts = settings.state.txn_ops - 1;
    for (const [block, removed] of byBlock)
      for (let i = 0; i < removed.length; i += maxHosts) {
        const part = new Set(removed.slice(i, i + maxHosts));
        this.write(`${blockKey(block)} ${i}`, () => this.blockRemoval(block, part));
      }
  }

  private machineRemoval(host: string): Write[] | null {
    const key = machineKey(host);
    return this.context.replica.modRevisionOf(key) > 0 ? [{ key, data: undefined }] : null;
  }

  private blockRemoval(id: string, removed: ReadonlySet<string>): Write[] | null {
    const block = this.context.replica.blocks.get(id);
    if (!block) return null;
    const hosts = block.hosts.filter((host) => !removed.has(host));
    const writes: Write[] = [
      // Written first: otherwise a machine whose own record is removed would get the state that the block gives it.
      { key: blockKey(id), data: hosts.length > 0 ? blockData({ ...block, hosts }) : undefined },
    ];
    for (const host of removed) writes.push(...(this.machineRemoval(host) ?? []));
    return writes;
  }

  /** Enqueues a change, unless one of the same name is in progress. `build` returns null if the change is no longer needed. */
  private write(name: string, build: () => Write[] | null, onSettled?: () => void): void {
    if (this.pending.has(name)) return;
    this.pending.add(name);
    const settle = (): void => {
      this.pending.delete(name);
      onSettled?.();
    };
    const { replica, settings } = this.context;
    this.batcher.enqueue({
      priority: WritePriority.provisioning,
      build: () => {
        const { leader } = replica;
        const writes = leader?.member === settings.member ? build() : null;
        if (!leader || writes === null) {
          settle();
          return null;
        }
        return {
          conditions: [
            ...writes.map(({ key }) => ({ key, stamp: replica.modRevisionOf(key) })),
            { key: replica.activeLeaderKey, stamp: leader.modRevision },
          ],
          writes,
        };
      },
      onCommitted: settle,
      onConflict: settle,
    });
  }
}
