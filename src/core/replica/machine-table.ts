/** The machines of the replica, described by a record of their own or by the record of the block they were rented in. */
import type { MachineRecord } from '../../model/machine.js';
import { machineKey, type BlockRecord } from '../storage/index.js';

/**
 * A machine, and the revision at which its own record was written or, without such a record, at which its block first listed
 * it.
 */
export type VersionedMachine = MachineRecord & { readonly modRevision: number };

/** What the table needs from the replica that contains it. */
export interface MachineTableContext {
  /** The revision at which the key was last written; 0: it has no value. */
  modRevisionOf(key: string): number;
  /** Whether the record under a key cannot be read. */
  isUnreadable(key: string): boolean;
  /** Called when a machine has changed; undefined: it no longer exists. */
  machineChanged(host: string, machine: VersionedMachine | undefined): void;
}

/**
 * All machines that the stored state contains. Machines that are rented together are first described by one record, that of
 * their block. With the first change that affects only one machine, that machine gets a record of its own, which then takes
 * precedence.
 */
export class MachineTable {
  readonly machines = new Map<string, VersionedMachine>();
  readonly blocks = new Map<string, BlockRecord>();
  /** The block that a machine was rented in, and the revision at which the block first listed it, by host. */
  private readonly origins = new Map<string, { readonly block: string; readonly modRevision: number }>();

  constructor(private readonly context: MachineTableContext) {}

  /** The id of the block that a machine was rented in; undefined: no block lists it. */
  blockOf(host: string): string | undefined {
    return this.origins.get(host)?.block;
  }

  /** Applies a change of a machine's own record; null: it was deleted. */
  applyMachine(host: string, record: MachineRecord | null, modRevision: number): void {
    if (record) this.machines.set(host, { ...record, modRevision });
    else this.machines.delete(host);
    this.resolve(host);
  }

  /** Applies a change of a block's record; null: it was deleted. */
  applyBlock(id: string, block: BlockRecord | null, modRevision: number): void {
    const previousHosts = this.blocks.get(id)?.hosts ?? [];
    if (block) this.blocks.set(id, block);
    else this.blocks.delete(id);
    const hosts = new Set(block?.hosts);
    for (const host of previousHosts)
      if (!hosts.has(host)) {
        this.origins.delete(host);
        if (!this.hasOwnRecord(host) && this.machines.delete(host)) this.resolve(host);
      }
    for (const host of hosts)
      if (!this.origins.has(host)) {
        // A block is rewritten when machines leave it. The others keep the revision at which the block first listed them,
        // because their owner has been responsible for them since then.
        this.origins.set(host, { block: id, modRevision });
        if (!this.hasOwnRecord(host)) this.resolve(host);
      }
  }

  private hasOwnRecord(host: string): boolean {
    return this.context.modRevisionOf(machineKey(host)) > 0;
  }

  /** Derives a machine without a record of its own from its block, and reports the result. */
  private resolve(host: string): void {
    if (this.context.isUnreadable(machineKey(host))) return;
    const origin = this.origins.get(host);
    const block = origin && this.blocks.get(origin.block);
    if (block && !this.hasOwnRecord(host)) {
      const { type, zone, spot, shard, since } = block;
      const { modRevision } = origin;
      this.machines.set(host, { host, type, zone, spot, shard, since, state: 'use', modRevision });
    }
    this.context.machineChanged(host, this.machines.get(host));
  }
}
