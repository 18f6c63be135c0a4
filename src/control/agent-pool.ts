/** The agent pool: stored membership records, and the adapter that presents the pool to the core as a cloud provider. */
import type { CloudProvider } from '../cloud/cloud-provider.js';
import type { Log } from '../core/effects.js';
import type { MachineType } from '../model/machine.js';
import type { JoinRequest } from '../wire/agent.js';
import type { ListedMachine, RentalOutcome } from '../wire/cloud.js';
import { listAll, commitWithRetries, type ControlStore } from './control-store.js';

/** The membership record of an agent. It is stored, so its field names are part of the storage format. */
export interface PoolRecord extends JoinRequest {
  /** The name of the agent's machine in the core; unique, and never reused for another machine. */
  host: string;
  /** Wall-clock time, ms. */
  joinedAt: number;
  /** When draining started (wall-clock time, ms); null if not drained. A drained machine gets no new tasks. */
  drainedAt: number | null;
  /** Whether an operator has declared the machine lost. */
  forgotten: boolean;
}

/** A pool member: its stored record, and what this process has learned since it started. */
export interface PoolMember extends PoolRecord {
  /** When it first joined or last sent a heartbeat, on this process's monotonic clock, ms; null if not since this process started. */
  lastHeartbeatAt: number | null;
  /** The address that the agent listens on, HOST:PORT; null if no heartbeat has arrived since this process started. */
  endpoint: string | null;
}

/** The outcome of a join request: the host name assigned to the agent, or why it was refused. */
export type JoinOutcome = { readonly host: string } | { readonly refused: string };

const keyPrefix = 'pool/';
const hostCounterKey = 'pool-count';
const memberKey = (host: string): string => `${keyPrefix}${host}`;

/**
 * The agents that have joined. The core sees the pool as a cloud provider that never rents out machines: agents join on
 * their own initiative, and only machines that were drained or forgotten can be deleted.
 */
export class AgentPool implements CloudProvider {
  private readonly members = new Map<string, PoolMember>();
  /** The load in progress, shared by concurrent callers; null if there is none. */
  private loading: Promise<void> | null = null;
  /** Settles when the most recently queued join request has been processed. */
  private lastJoin: Promise<unknown> = Promise.resolve();
  /** Called for every new or changed member, and with null for a removed one. */
  onMemberChanged: (host: string, member: PoolRecord | null) => void = () => undefined;
  /** Called when a member has a machine type that was not known before. */
  onNewMachineType: () => void = () => undefined;
  /** Called when an operator has declared a machine lost by way of another control service. */
  onForgotten: (host: string) => void = () => undefined;

  constructor(
    private readonly store: ControlStore,
    private readonly zones: readonly string[],
    private readonly aliveTimeoutMs: number,
    private readonly now: () => number,
    private readonly log: Log,
  ) {}

  /** Reloads all records from the store, where other control services may have changed them. */
  load(): Promise<void> {
    this.loading ??= this.readRecords().finally(() => (this.loading = null));
    return this.loading;
  }

  private async readRecords(): Promise<void> {
    const knownTypes = new Set([...this.members.values()].map((member) => member.type));
    const records = await listAll(this.store, keyPrefix);
    const listedHosts = new Set<string>();
    for (const { data } of records) {
      const record = data as PoolRecord;
      const previous = this.members.get(record.host);
      const { lastHeartbeatAt, endpoint } = previous ?? { lastHeartbeatAt: null, endpoint: null };
      this.members.set(record.host, { ...record, lastHeartbeatAt, endpoint });
      listedHosts.add(record.host);
      if (!previous || !sameAttributes(previous.attrs, record.attrs))
        this.onMemberChanged(record.host, record);
      if (record.forgotten && previous && !previous.forgotten) this.onForgotten(record.host);
    }
    for (const host of [...this.members.keys()])
      if (!listedHosts.has(host)) {
        this.members.delete(host);
        this.onMemberChanged(host, null);
      }
    if ([...this.members.values()].some((member) => !knownTypes.has(member.type))) this.onNewMachineType();
  }

  /** Returns the member on a host, reloading the records if it is unknown: it may have just joined elsewhere. */
  async findOrLoad(host: string): Promise<Readonly<PoolMember> | undefined> {
    if (!this.members.has(host)) await this.load();
    return this.members.get(host);
  }

  /** Returns all members that this process knows. */
  all(): Iterable<Readonly<PoolMember>> {
    return this.members.values();
  }

  /** Returns the member on a host, if this process knows it. */
  get(host: string): Readonly<PoolMember> | undefined {
    return this.members.get(host);
  }

  /** Finds a member by host name, or else by agent name: of those that are not forgotten, the one that joined last. */
  find(name: string): Readonly<PoolMember> | undefined {
    const exact = this.members.get(name);
    if (exact) return exact;
    let last: PoolMember | undefined;
    for (const member of this.members.values())
      if (member.name === name && !member.forgotten && (!last || member.joinedAt >= last.joinedAt))
        last = member;
    return last;
  }

  /** Processes a join request of a new or returning agent. */
  join(request: JoinRequest): Promise<JoinOutcome> {
    // Requests are serialized: if 1,000 agents join at once, all but one would fail the precondition on the counter.
    const admission = this.lastJoin.then(() => this.admit(request));
    this.lastJoin = admission.catch(() => undefined);
    return admission;
  }

  private async admit(request: JoinRequest): Promise<JoinOutcome> {
    // The counter is read before the members: an agent that joins elsewhere in between changes it, and the write fails.
    const counter = await listAll(this.store, hostCounterKey);
    await this.readRecords();
    if (!this.zones.includes(request.zone))
      return { refused: `zone ${request.zone}: not one of ${this.zones.join(', ')}` };
    const sameType = [...this.members.values()].find((member) => member.type === request.type);
    if (sameType && !sameResources(sameType, request))
      return {
        refused: `type ${request.type}: ${sameType.name} of that type has other resources; give it a type of its own`,
      };
    const rejoined = await this.rejoin(request);
    if (rejoined) return rejoined;
    const hostNumber = ((counter[0]?.data as { n?: number } | undefined)?.n ?? 0) + 1;
    const record: PoolRecord = {
      ...request,
      host: `${request.name}.${hostNumber}`,
      joinedAt: Date.now(),
      drainedAt: null,
      forgotten: false,
    };
    // The precondition prevents two control services from assigning the same host name to two agents.
    await commitWithRetries(
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

  /** Looks for active members with the requested name. The same agent gets its host back; null if the name is free. */
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

  /** Records that a heartbeat of a machine has just arrived, and the address that its agent listens on. */
  recordHeartbeat(host: string, endpoint: string): void {
    const member = this.members.get(host);
    if (!member) return;
    member.lastHeartbeatAt = this.now();
    member.endpoint = endpoint;
  }

  /** Starts draining a machine. */
  async drain(host: string): Promise<void> {
    await this.update(host, { drainedAt: Date.now() });
  }

  /** Records an operator's declaration that a machine, and everything that ran on it, is lost. */
  async forget(host: string): Promise<void> {
    await this.update(host, { forgotten: true });
  }

  private async update(host: string, changes: Partial<PoolRecord>): Promise<void> {
    const member = this.members.get(host);
    if (!member) return;
    const { lastHeartbeatAt, endpoint, ...record } = member;
    await commitWithRetries(this.store, [[memberKey(host), { ...record, ...changes }]]);
    this.members.set(host, { ...record, ...changes, lastHeartbeatAt, endpoint });
  }

  // ---- CloudProvider ----

  /** Returns the distinct machine types of the members. */
  listMachineTypes(): Promise<MachineType[]> {
    const types = new Map<string, MachineType>();
    for (const member of this.members.values())
      if (!types.has(member.type))
        types.set(member.type, {
          name: member.type,
          cpus: member.cpus,
          gpus: member.gpus,
          memGb: member.memGb,
          cacheGb: 0,
          fetchGbPerS: 0,
          // Agents' machines cost nothing. A price proportional to CPUs makes the core indifferent to machine size.
          price: member.cpus,
          spotPrice: member.cpus,
          bootS: 1,
          zones: [...this.zones],
        });
    return Promise.resolve([...types.values()]);
  }

  /** Always reports that there is no capacity: agents join on their own, so nothing can be rented. */
  rentMachines(): Promise<RentalOutcome> {
    return Promise.resolve({ type: 'no-capacity' });
  }

  /** Removes drained or forgotten members. If any of the hosts is neither, removes none and returns false. */
  async deleteMachines(hosts: string[]): Promise<boolean> {
    const members = hosts.flatMap((host) => this.members.get(host) ?? []);
    if (members.some((member) => member.drainedAt === null && !member.forgotten)) return false;
    if (members.length > 0)
      await commitWithRetries(
        this.store,
        members.map((member) => [memberKey(member.host), undefined]),
      );
    for (const member of members) {
      this.members.delete(member.host);
      this.onMemberChanged(member.host, null);
      this.log('info', 'agent removed', {
        host: member.host,
        why: member.forgotten ? 'forgotten' : 'drained',
      });
    }
    return true;
  }

  /** Lists all members as running machines. */
  listMachines(): Promise<ListedMachine[]> {
    const list: ListedMachine[] = [];
    for (const member of this.members.values())
      list.push({
        host: member.host,
        endpoint: member.endpoint ?? '',
        type: member.type,
        zone: member.zone,
        spot: false,
        status: 'running',
        ageS: (Date.now() - member.joinedAt) / 1000,
      });
    return Promise.resolve(list);
  }
}

const sameResources = (a: JoinRequest, b: JoinRequest): boolean =>
  a.cpus === b.cpus && a.gpus === b.gpus && a.memGb === b.memGb;

const sameAttributes = (a: PoolRecord['attrs'], b: PoolRecord['attrs']): boolean =>
  Object.keys(a).length === Object.keys(b).length && Object.entries(a).every(([k, v]) => b[k] === v);
