/** The pool of agents: their stored membership records, and the pool as the core's cloud provider. */
import type { CloudProvider } from '../cloud/cloud-provider.js';
import type { Log } from '../core/effects.js';
import type { MachineType } from '../model/machine.js';
import type { JoinRequest } from '../wire/agent-side.js';
import type { ListedMachine, RentalOutcome } from '../wire/cloud.js';
import { listAll, putIf, type ControlStore } from './control-store.js';

/** The membership of an agent. A stored record: field names are part of the format. */
export interface PoolRecord extends JoinRequest {
  /** The name of its machine in the core, never used again for another machine. */
  host: string;
  /** Time of day, ms. */
  joinedAt: number;
  /** Since when it is being drained: no new task is started on it. Time of day, ms; null: not drained. */
  drainedAt: number | null;
  /** An operator has declared the machine lost. */
  forgotten: boolean;
}

/** An agent of the pool: its record, and what this process has heard of it. */
export interface PoolMember extends PoolRecord {
  /** On this process's monotonic clock, ms; null: not since this process started. */
  lastHeartbeatAt: number | null;
  /** Where its agent listens, HOST:PORT; null: not known since this process started. */
  endpoint: string | null;
}

/** What became of an agent's request to join. */
export type JoinOutcome = { readonly host: string } | { readonly refused: string };

const keyPrefix = 'pool/';
const hostCounterKey = 'pool-count';
const memberKey = (host: string): string => `${keyPrefix}${host}`;

/**
 * The agents that have joined. To the core the pool is a cloud provider whose machines cannot be rented: agents join by
 * themselves, and only machines that were drained or forgotten can be deleted.
 */
export class AgentPool implements CloudProvider {
  private readonly members = new Map<string, PoolMember>();
  /** The read under way, shared by concurrent callers. */
  private loading: Promise<void> | null = null;
  /** Settles when the last join in the queue has been decided. */
  private lastJoin: Promise<unknown> = Promise.resolve();
  /** Called with every new or changed member, and with null when a member was removed. */
  onMemberChanged: (host: string, member: PoolRecord | null) => void = () => undefined;
  /** Called when a machine type was not known before. */
  onNewMachineType: () => void = () => undefined;
  /** Called when an operator has declared a machine lost through another control service. */
  onForgotten: (host: string) => void = () => undefined;

  constructor(
    private readonly store: ControlStore,
    private readonly zones: readonly string[],
    private readonly aliveTimeoutMs: number,
    private readonly now: () => number,
    private readonly log: Log,
  ) {}

  /** Reads the records again: other control services on the same store change them, too. */
  load(): Promise<void> {
    this.loading ??= this.readRecords().finally(() => (this.loading = null));
    return this.loading;
  }

  private async readRecords(): Promise<void> {
    const types = new Set([...this.members.values()].map((m) => m.type));
    const records = await listAll(this.store, keyPrefix);
    const listed = new Set<string>();
    for (const { data } of records) {
      const record = data as PoolRecord;
      const previous = this.members.get(record.host);
      const { lastHeartbeatAt, endpoint } = previous ?? { lastHeartbeatAt: null, endpoint: null };
      this.members.set(record.host, { ...record, lastHeartbeatAt, endpoint });
      listed.add(record.host);
      if (!previous || !sameAttributes(previous.attrs, record.attrs))
        this.onMemberChanged(record.host, record);
      if (record.forgotten && previous && !previous.forgotten) this.onForgotten(record.host);
    }
    for (const host of [...this.members.keys()])
      if (!listed.has(host)) {
        this.members.delete(host);
        this.onMemberChanged(host, null);
      }
    if ([...this.members.values()].some((m) => !types.has(m.type))) this.onNewMachineType();
  }

  /** The member of that host, also if it joined through another control service a moment ago. */
  async findOrLoad(host: string): Promise<Readonly<PoolMember> | undefined> {
    if (!this.members.has(host)) await this.load();
    return this.members.get(host);
  }

  /** All members that this process knows of. */
  all(): Iterable<Readonly<PoolMember>> {
    return this.members.values();
  }

  /** The member of that host, as far as this process knows. */
  get(host: string): Readonly<PoolMember> | undefined {
    return this.members.get(host);
  }

  /** Finds a member by its host or by the name of its agent; of several with that name, the one that joined last. */
  find(name: string): Readonly<PoolMember> | undefined {
    const exact = this.members.get(name);
    if (exact) return exact;
    let last: PoolMember | undefined;
    for (const m of this.members.values())
      if (m.name === name && !m.forgotten && (!last || m.joinedAt >= last.joinedAt)) last = m;
    return last;
  }

  /** Admits an agent that joins for the first time or again: the host name it was given, or why it is refused. */
  join(request: JoinRequest): Promise<JoinOutcome> {
    // One after the other: of a thousand agents that join at once, all but one would fail the counter's precondition.
    const turn = this.lastJoin.then(() => this.admit(request));
    this.lastJoin = turn.catch(() => undefined);
    return turn;
  }

  private async admit(request: JoinRequest): Promise<JoinOutcome> {
    // The counter is read before the members: whoever joins in between changes it, and then the write below fails.
    const counter = await listAll(this.store, hostCounterKey);
    await this.readRecords();
    if (!this.zones.includes(request.zone))
      return { refused: `zone ${request.zone}: not one of ${this.zones.join(', ')}` };
    const sameType = [...this.members.values()].find((m) => m.type === request.type);
    if (sameType && !sameResources(sameType, request))
      return {
        refused: `type ${request.type}: ${sameType.name} of that type has other resources; give it a type of its own`,
      };
    const known = await this.rejoin(request);
    if (known) return known;
    const hostNumber = ((counter[0]?.data as { n?: number } | undefined)?.n ?? 0) + 1;
    const record: PoolRecord = {
      ...request,
      host: `${request.name}.${hostNumber}`,
      joinedAt: Date.now(),
      drainedAt: null,
      forgotten: false,
    };
    // The precondition keeps two control services from giving one host name to two agents.
    await putIf(
      this.store,
      [
        [hostCounterKey, { n: hostNumber }],
        [memberKey(record.host), { ...record }],
      ],
      [{ key: hostCounterKey, stamp: counter[0]?.stamp ?? 0 }],
    );
    this.members.set(record.host, { ...record, lastHeartbeatAt: this.now(), endpoint: null });
    this.onMemberChanged(record.host, record);
    this.log('info', 'agent joined', { host: record.host, type: record.type, zone: record.zone });
    if (!sameType) this.onNewMachineType();
    return { host: record.host };
  }

  /** Looks for active members of the requested name: the same agent gets its host back; null if the name is free. */
  private async rejoin(request: JoinRequest): Promise<JoinOutcome | null> {
    for (const member of this.members.values()) {
      if (member.name !== request.name || member.forgotten || member.drainedAt !== null) continue;
      if (member.id !== request.id) {
        if (member.lastHeartbeatAt !== null && this.now() - member.lastHeartbeatAt < this.aliveTimeoutMs)
          return { refused: `${request.name}: another agent has that name and is alive` };
        continue;
      }
      if (member.zone !== request.zone || member.type !== request.type)
        return {
          refused: `${request.name}: has joined as ${member.type} in ${member.zone}: drain it before it changes`,
        };
      if (!sameAttributes(member.attrs, request.attrs)) {
        await this.update(member.host, { attrs: request.attrs });
        this.onMemberChanged(member.host, this.members.get(member.host)!);
      }
      return { host: member.host };
    }
    return null;
  }

  /** Notes that a machine was heard of just now, and where its agent listens. */
  recordHeartbeat(host: string, endpoint: string): void {
    const member = this.members.get(host);
    if (!member) return;
    member.lastHeartbeatAt = this.now();
    member.endpoint = endpoint;
  }

  /** Starts the graceful eviction of a machine. */
  async drain(host: string): Promise<void> {
    await this.update(host, { drainedAt: Date.now() });
  }

  /** Records an operator's declaration that a machine and everything that ran on it is lost. */
  async forget(host: string): Promise<void> {
    await this.update(host, { forgotten: true });
  }

  private async update(host: string, changes: Partial<PoolRecord>): Promise<void> {
    const member = this.members.get(host);
    if (!member) return;
    const { lastHeartbeatAt, endpoint, ...record } = member;
    await putIf(this.store, [[memberKey(host), { ...record, ...changes }]]);
    this.members.set(host, { ...record, ...changes, lastHeartbeatAt, endpoint });
  }

  // ---- the core's cloud provider ----

  /** One type for each distinct type of the members. */
  listMachineTypes(): Promise<MachineType[]> {
    const types = new Map<string, MachineType>();
    for (const m of this.members.values())
      if (!types.has(m.type))
        types.set(m.type, {
          name: m.type,
          cpus: m.cpus,
          gpus: m.gpus,
          memGb: m.memGb,
          cacheGb: 0,
          fetchGbPerS: 0,
          // Agents' machines cost nothing; a price by CPU keeps the core from preferring any size.
          price: m.cpus,
          spotPrice: m.cpus,
          bootS: 1,
          zones: [...this.zones],
        });
    return Promise.resolve([...types.values()]);
  }

  /** Agents join by themselves: there is nothing to rent. */
  rentMachines(): Promise<RentalOutcome> {
    return Promise.resolve({ type: 'no-capacity' });
  }

  /** Removes drained and forgotten members; false, removing none, if any of the hosts is neither. */
  async deleteMachines(hosts: string[]): Promise<boolean> {
    const members = hosts.flatMap((host) => this.members.get(host) ?? []);
    if (members.some((m) => m.drainedAt === null && !m.forgotten)) return false;
    if (members.length > 0)
      await putIf(
        this.store,
        members.map((m) => [memberKey(m.host), undefined]),
      );
    for (const m of members) {
      this.members.delete(m.host);
      this.onMemberChanged(m.host, null);
      this.log('info', 'agent gone', { host: m.host, why: m.forgotten ? 'forgotten' : 'drained' });
    }
    return true;
  }

  /** All members, as running machines. */
  listMachines(): Promise<ListedMachine[]> {
    const list: ListedMachine[] = [];
    for (const m of this.members.values())
      list.push({
        host: m.host,
        endpoint: m.endpoint ?? '',
        type: m.type,
        zone: m.zone,
        spot: false,
        status: 'running',
        ageS: (Date.now() - m.joinedAt) / 1000,
      });
    return Promise.resolve(list);
  }
}

const sameResources = (a: JoinRequest, b: JoinRequest): boolean =>
  a.cpus === b.cpus && a.gpus === b.gpus && a.memGb === b.memGb;

const sameAttributes = (a: PoolRecord['attrs'], b: PoolRecord['attrs']): boolean =>
  Object.keys(a).length === Object.keys(b).length && Object.entries(a).every(([k, v]) => b[k] === v);
