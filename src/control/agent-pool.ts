import type { CloudProvider } from '../cloud/cloud.js';
import type { Log } from '../core/effects.js';
import type { MachineType } from '../model/machine.js';
import type { Joining } from '../wire/agent-side.js';
import type { ListedMachine } from '../wire/cloud.js';
import { StoreUnavailableError, putIf, type Precondition, type ControlStore } from './control-store.js';

/** What is kept of an agent. */
export interface PoolRecord extends Joining {
  /** Its machine's name in the core: never used again for another. */
  host: string;
  joinedAt: number;
  /** It is to leave: nothing new is started there. Time of day, ms; null: it stays. */
  drainedAt: number | null;
  /** A person has said that it is gone. */
  forgotten: boolean;
}

interface PoolMember extends PoolRecord {
  /** When it was last heard, on this process's clock; null: not since this process began. */
  lastHeartbeatAt: number | null;
  endpoint: string | null;
}

const keyPrefix = 'pool/';
const hostCounterKey = 'pool-count';
const memberKey = (host: string): string => `${keyPrefix}${host}`;

/** The agents, in the place of rented machines: they come and go by themselves. */
export class AgentPool implements CloudProvider {
  private readonly members = new Map<string, PoolMember>();
  /** Being read: several agents may ask at once. */
  private loading: Promise<void> | null = null;
  private lastJoin: Promise<unknown> = Promise.resolve();
  /** Called with every machine that is new or has changed, and with null when it is gone. */
  onMemberChanged: (host: string, m: PoolRecord | null) => void = () => undefined;
  /** Called when a type of machine is new. */
  onNewMachineType: () => void = () => undefined;
  /** Called when a person has told another control service that a machine is gone. */
  onForgotten: (host: string) => void = () => undefined;

  constructor(
    private readonly store: ControlStore,
    private readonly zones: readonly string[],
    private readonly aliveTimeoutMs: number,
    private readonly now: () => number,
    private readonly log: Log,
  ) {}

  /** Reads it anew: other control services on the same store change it, too. */
  load(): Promise<void> {
    this.loading ??= this.readRecords().finally(() => (this.loading = null));
    return this.loading;
  }

  private async readRecords(): Promise<void> {
    const types = new Set([...this.members.values()].map((m) => m.type));
    const records = await this.store.list(keyPrefix);
    if (!records) throw new StoreUnavailableError('the store does not answer');
    const listed = new Set<string>();
    for (const { data } of records) {
      const record = data as PoolRecord;
      const previous = this.members.get(record.host);
      const { lastHeartbeatAt: heardAt, endpoint } = previous ?? { lastHeartbeatAt: null, endpoint: null };
      this.members.set(record.host, { ...record, lastHeartbeatAt: heardAt, endpoint });
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

  /** A machine, also one that joined through another control service a moment ago. */
  async findOrLoad(host: string): Promise<Readonly<PoolMember> | undefined> {
    if (!this.members.has(host)) await this.load();
    return this.members.get(host);
  }

  all(): Iterable<Readonly<PoolMember>> {
    return this.members.values();
  }

  get(host: string): Readonly<PoolMember> | undefined {
    return this.members.get(host);
  }

  /** By host, or by an agent's name: the one that joined last. */
  find(name: string): Readonly<PoolMember> | undefined {
    const exact = this.members.get(name);
    if (exact) return exact;
    let last: PoolMember | undefined;
    for (const m of this.members.values())
      if (m.name === name && !m.forgotten && (!last || m.joinedAt >= last.joinedAt)) last = m;
    return last;
  }

  /** An agent joins, or comes back: the answer is its machine's name, or why it is not let in. */
  join(request: Joining): Promise<{ host: string } | { refused: string }> {
    // Guards against a thousand agents that come at once and all fail at each other's count.
    const turn = this.lastJoin.then(() => this.admit(request));
    this.lastJoin = turn.catch(() => undefined);
    return turn;
  }

  private async admit(request: Joining): Promise<{ host: string } | { refused: string }> {
    const counter = await this.store.list(hostCounterKey);
    if (!counter) throw new StoreUnavailableError('the store does not answer');
    // In this order: whoever joins after the count was read changes it, and then this does not go through.
    await this.readRecords();
    if (!this.zones.includes(request.zone))
      return { refused: `zone ${request.zone}: not one of ${this.zones.join(', ')}` };
    const sameType = [...this.members.values()].find((m) => m.type === request.type);
    if (
      sameType &&
      (sameType.cpus !== request.cpus || sameType.gpus !== request.gpus || sameType.memGb !== request.memGb)
    )
      return {
        refused: `type ${request.type}: ${sameType.name} of that type has other resources; give it a type of its own`,
      };
    for (const m of this.members.values()) {
      if (m.name !== request.name || m.forgotten || m.drainedAt !== null) continue;
      if (m.id === request.id) {
        if (m.zone === request.zone && m.type === request.type) {
          if (!sameAttributes(m.attrs, request.attrs)) {
            await this.update(m.host, { attrs: request.attrs });
            this.onMemberChanged(m.host, this.members.get(m.host)!);
          }
          return { host: m.host };
        }
        return {
          refused: `${request.name}: has joined as ${m.type} in ${m.zone}: drain it before it changes`,
        };
      }
      if (m.lastHeartbeatAt !== null && this.now() - m.lastHeartbeatAt < this.aliveTimeoutMs)
        return { refused: `${request.name}: another agent has that name and is alive` };
    }
    const hostNumber = ((counter[0]?.data as { n?: number } | undefined)?.n ?? 0) + 1;
    const precondition: Precondition = { key: hostCounterKey, stamp: counter[0]?.stamp ?? 0 };
    const record: PoolRecord = {
      ...request,
      host: `${request.name}.${hostNumber}`,
      joinedAt: Date.now(),
      drainedAt: null,
      forgotten: false,
    };
    // Guards against one machine's name given to two agents by two control services.
    await putIf(
      this.store,
      [
        [hostCounterKey, { n: hostNumber }],
        [memberKey(record.host), { ...record }],
      ],
      [precondition],
    );
    this.members.set(record.host, { ...record, lastHeartbeatAt: this.now(), endpoint: null });
    this.onMemberChanged(record.host, record);
    this.log('info', 'agent joined', { host: record.host, type: record.type, zone: record.zone });
    if (!sameType) this.onNewMachineType();
    return { host: record.host };
  }

  recordHeartbeat(host: string, endpoint: string): void {
    const member = this.members.get(host);
    if (!member) return;
    member.lastHeartbeatAt = this.now();
    member.endpoint = endpoint;
  }

  /** It is to leave in order. */
  async drain(host: string): Promise<void> {
    await this.update(host, { drainedAt: Date.now() });
  }

  /** A person says that it is gone, with all that ran on it. */
  async forget(host: string): Promise<void> {
    await this.update(host, { forgotten: true });
  }

  private async update(host: string, changes: Partial<PoolRecord>): Promise<void> {
    const member = this.members.get(host);
    if (!member) return;
    const { lastHeartbeatAt: heardAt, endpoint, ...record } = member;
    await putIf(this.store, [[memberKey(host), { ...record, ...changes }]]);
    this.members.set(host, { ...record, ...changes, lastHeartbeatAt: heardAt, endpoint });
  }

  // ---- in the cloud's place ----

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
          // Nothing is paid: larger machines are no dearer for each CPU.
          price: m.cpus,
          spotPrice: m.cpus,
          bootS: 1,
          zones: [...this.zones],
        });
    return Promise.resolve([...types.values()]);
  }

  rentMachines(): Promise<'none'> {
    return Promise.resolve('none');
  }

  /** Only what has left or was forgotten is gone. */
  async deleteMachines(hosts: string[]): Promise<boolean> {
    const mine = hosts.flatMap((h) => this.members.get(h) ?? []);
    if (mine.some((m) => m.drainedAt === null && !m.forgotten)) return false;
    if (mine.length > 0)
      await putIf(
        this.store,
        mine.map((m) => [memberKey(m.host), undefined]),
      );
    for (const m of mine) {
      this.members.delete(m.host);
      this.onMemberChanged(m.host, null);
      this.log('info', 'agent gone', { host: m.host, why: m.forgotten ? 'forgotten' : 'drained' });
    }
    return true;
  }

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

const sameAttributes = (a: PoolRecord['attrs'], b: PoolRecord['attrs']): boolean =>
  Object.keys(a).length === Object.keys(b).length && Object.entries(a).every(([k, v]) => b[k] === v);
