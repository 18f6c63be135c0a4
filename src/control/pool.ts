import type { CloudProvider } from '../cloud/cloud.js';
import type { Log } from '../core/effects.js';
import type { MachineType } from '../model/machine.js';
import type { Joining } from '../wire/agent-side.js';
import type { ListedMachine } from '../wire/cloud.js';
import { NotWritten, put, type Guard, type Kv } from './control-store.js';

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

interface Member extends PoolRecord {
  /** When it was last heard, on this process's clock; null: not since this process began. */
  heardAt: number | null;
  endpoint: string | null;
}

const prefix = 'pool/';
const countKey = 'pool-count';
const keyOf = (host: string): string => `${prefix}${host}`;

/** The agents, in the place of rented machines: they come and go by themselves. */
export class Pool implements CloudProvider {
  private readonly members = new Map<string, Member>();
  /** Being read: several agents may ask at once. */
  private reading: Promise<void> | null = null;
  private joining: Promise<unknown> = Promise.resolve();
  /** Called with every machine that is new or has changed, and with null when it is gone. */
  onMember: (host: string, m: PoolRecord | null) => void = () => undefined;
  /** Called when a type of machine is new. */
  onTypes: () => void = () => undefined;
  /** Called when a person has told another control service that a machine is gone. */
  onForgotten: (host: string) => void = () => undefined;

  constructor(
    private readonly kv: Kv,
    private readonly zones: readonly string[],
    private readonly aliveMs: number,
    private readonly now: () => number,
    private readonly log: Log,
  ) {}

  /** Reads it anew: other control services on the same store change it, too. */
  load(): Promise<void> {
    this.reading ??= this.read().finally(() => (this.reading = null));
    return this.reading;
  }

  private async read(): Promise<void> {
    const types = new Set([...this.members.values()].map((m) => m.type));
    const records = await this.kv.list(prefix);
    if (!records) throw new NotWritten('the store does not answer');
    const seen = new Set<string>();
    for (const { data } of records) {
      const r = data as PoolRecord;
      const before = this.members.get(r.host);
      const { heardAt, endpoint } = before ?? { heardAt: null, endpoint: null };
      this.members.set(r.host, { ...r, heardAt, endpoint });
      seen.add(r.host);
      if (!before || !sameAttrs(before.attrs, r.attrs)) this.onMember(r.host, r);
      if (r.forgotten && before && !before.forgotten) this.onForgotten(r.host);
    }
    for (const host of [...this.members.keys()])
      if (!seen.has(host)) {
        this.members.delete(host);
        this.onMember(host, null);
      }
    if ([...this.members.values()].some((m) => !types.has(m.type))) this.onTypes();
  }

  /** A machine, also one that joined through another control service a moment ago. */
  async known(host: string): Promise<Readonly<Member> | undefined> {
    if (!this.members.has(host)) await this.load();
    return this.members.get(host);
  }

  all(): Iterable<Readonly<Member>> {
    return this.members.values();
  }

  get(host: string): Readonly<Member> | undefined {
    return this.members.get(host);
  }

  /** By host, or by an agent's name: the one that joined last. */
  find(name: string): Readonly<Member> | undefined {
    const exact = this.members.get(name);
    if (exact) return exact;
    let last: Member | undefined;
    for (const m of this.members.values())
      if (m.name === name && !m.forgotten && (!last || m.joinedAt >= last.joinedAt)) last = m;
    return last;
  }

  /** An agent joins, or comes back: the answer is its machine's name, or why it is not let in. */
  join(j: Joining): Promise<{ host: string } | { refused: string }> {
    // Guards against a thousand agents that come at once and all fail at each other's count.
    const turn = this.joining.then(() => this.letIn(j));
    this.joining = turn.catch(() => undefined);
    return turn;
  }

  private async letIn(j: Joining): Promise<{ host: string } | { refused: string }> {
    const counts = await this.kv.list(countKey);
    if (!counts) throw new NotWritten('the store does not answer');
    // In this order: whoever joins after the count was read changes it, and then this does not go through.
    await this.read();
    if (!this.zones.includes(j.zone))
      return { refused: `zone ${j.zone}: not one of ${this.zones.join(', ')}` };
    const alike = [...this.members.values()].find((m) => m.type === j.type);
    if (alike && (alike.cpus !== j.cpus || alike.gpus !== j.gpus || alike.memGb !== j.memGb))
      return {
        refused: `type ${j.type}: ${alike.name} of that type has other resources; give it a type of its own`,
      };
    for (const m of this.members.values()) {
      if (m.name !== j.name || m.forgotten || m.drainedAt !== null) continue;
      if (m.id === j.id) {
        if (m.zone === j.zone && m.type === j.type) {
          if (!sameAttrs(m.attrs, j.attrs)) {
            await this.change(m.host, { attrs: j.attrs });
            this.onMember(m.host, this.members.get(m.host)!);
          }
          return { host: m.host };
        }
        return { refused: `${j.name}: has joined as ${m.type} in ${m.zone}: drain it before it changes` };
      }
      if (m.heardAt !== null && this.now() - m.heardAt < this.aliveMs)
        return { refused: `${j.name}: another agent has that name and is alive` };
    }
    const n = ((counts[0]?.data as { n?: number } | undefined)?.n ?? 0) + 1;
    const guard: Guard = { key: countKey, stamp: counts[0]?.stamp ?? 0 };
    const record: PoolRecord = {
      ...j,
      host: `${j.name}.${n}`,
      joinedAt: Date.now(),
      drainedAt: null,
      forgotten: false,
    };
    // Guards against one machine's name given to two agents by two control services.
    await put(
      this.kv,
      [
        [countKey, { n }],
        [keyOf(record.host), { ...record }],
      ],
      [guard],
    );
    this.members.set(record.host, { ...record, heardAt: this.now(), endpoint: null });
    this.onMember(record.host, record);
    this.log('info', 'agent joined', { host: record.host, type: record.type, zone: record.zone });
    if (!alike) this.onTypes();
    return { host: record.host };
  }

  heard(host: string, endpoint: string): void {
    const m = this.members.get(host);
    if (!m) return;
    m.heardAt = this.now();
    m.endpoint = endpoint;
  }

  /** It is to leave in order. */
  async drain(host: string): Promise<void> {
    await this.change(host, { drainedAt: Date.now() });
  }

  /** A person says that it is gone, with all that ran on it. */
  async forget(host: string): Promise<void> {
    await this.change(host, { forgotten: true });
  }

  private async change(host: string, what: Partial<PoolRecord>): Promise<void> {
    const m = this.members.get(host);
    if (!m) return;
    const { heardAt, endpoint, ...record } = m;
    await put(this.kv, [[keyOf(host), { ...record, ...what }]]);
    this.members.set(host, { ...record, ...what, heardAt, endpoint });
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
      await put(
        this.kv,
        mine.map((m) => [keyOf(m.host), undefined]),
      );
    for (const m of mine) {
      this.members.delete(m.host);
      this.onMember(m.host, null);
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

const sameAttrs = (a: PoolRecord['attrs'], b: PoolRecord['attrs']): boolean =>
  Object.keys(a).length === Object.keys(b).length && Object.entries(a).every(([k, v]) => b[k] === v);
