/** The machines of the replica: by a record of their own, or by that of the block they were rented in. */
import type { MachineRecord } from '../../model/machine.js';
import { machineKey, type BlockRecord } from '../storage/index.js';

/** A machine, and the revision of the state service at which its record was written. */
export type VersionedMachine = MachineRecord & { readonly modRevision: number };

/** What the table needs of the replica around it. */
export interface MachineTableContext {
  /** The revision of a key's present value; 0: it has none. */
  modRevisionOf(key: string): number;
  isUnreadable(key: string): boolean;
  machineChanged(host: string, machine: VersionedMachine | undefined): void;
}

/**
 * Every machine that the state knows. Machines rented together start with one record, their block's; a machine gets a record of
 * its own with the first change that concerns it alone, and that record prevails.
 */
export class MachineTable {
  readonly machines = new Map<string, VersionedMachine>();
  readonly blocks = new Map<string, BlockRecord>();
  /** The block that a machine was rented in, and the revision at which the block first named it. */
  private readonly origins = new Map<string, { readonly block: string; readonly modRevision: number }>();

  constructor(private readonly context: MachineTableContext) {}

  /** The block that a machine was rented in, as long as the block names it. */
  blockOf(host: string): string | undefined {
    return this.origins.get(host)?.block;
  }

  /** A machine's own record changed; null: it was deleted. */
  applyMachine(host: string, record: MachineRecord | null, modRevision: number): void {
    if (record) this.machines.set(host, { ...record, modRevision });
    else this.machines.delete(host);
    this.resolve(host);
  }

  /** A block's record changed; null: it was deleted. */
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
        // A block is rewritten when machines leave it: the others keep the revision at which they came under their owner.
        this.origins.set(host, { block: id, modRevision });
        if (!this.hasOwnRecord(host)) this.resolve(host);
      }
  }

  private hasOwnRecord(host: string): boolean {
    return this.context.modRevisionOf(machineKey(host)) > 0;
  }

  /** Takes a machine without a record of its own from its block, and reports the result. */
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
