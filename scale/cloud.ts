/** Simulated cloud: rents machines of one type, lists them with a delay, and removes them once their workers have stopped. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { readJson, sendJson } from '../src/net/json.js';
import type { Random } from '../src/retry/index.js';
import type { MachineSpec, PlatformStart } from './messages.js';
import { TokenBucket } from './state-service.js';

/** The only machine type of a scale run. */
export const machineType = 'node';
const gbPerCpu = 4;
const bootMs = { least: 1500, most: 4000 };
/** A machine that has died is still listed as running for this long. */
const deadMachineListedMs = 30_000;
const burstS = 2;
const maxBodyBytes = 64 * 1024;

interface Machine extends MachineSpec {
  rentedAt: number;
  endpoint: string;
  up: boolean;
  diedAt: number | null;
}

interface RentalRequest {
  hire: string;
  yard: string;
  loaners: boolean;
  howMany: number;
}

interface CloudResponse {
  status: number;
  body: object;
}

/** Callbacks of the simulated cloud to the platform process. */
export interface CloudListener {
  /** A rented machine has booted. */
  booted(machine: MachineSpec): void;
  /** Resolves when the workers on these machines have stopped. */
  removeMachines(hosts: string[]): Promise<void>;
}

/** An in-memory cloud with the HTTP protocol of the real one: boot delays, a delayed machine list and a request rate limit. */
export class SimulatedCloud {
  readonly server: Server;
  private readonly machines = new Map<string, Machine>();
  private readonly rentals = new Map<string, string[]>();
  private readonly removedMachines = new Map<string, Machine & { removedAt: number }>();
  private readonly requests: TokenBucket;
  private bootedCount = 0;

  constructor(
    private readonly limits: PlatformStart,
    private readonly random: Random,
    private readonly listener: CloudListener,
  ) {
    this.requests = new TokenBucket(limits.cloudRequestsPerS, undefined, burstS);
    this.server = createServer((req, res) => void this.serve(req, res));
  }

  /** Marks a machine as up, since its worker listens. */
  workerListening(host: string, endpoint: string): void {
    const machine = this.machines.get(host);
    if (machine) Object.assign(machine, { endpoint, up: true });
  }

  /** Marks a machine as dead. It is still listed as running for a while. */
  machineDied(host: string): void {
    const machine = this.machines.get(host);
    if (machine) machine.diedAt = performance.now();
  }

  private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://cloud');
    const body = req.method === 'POST' ? await readJson(req, maxBodyBytes) : null;
    const response = this.requests.take(1)
      ? await this.answer(`${req.method} ${url.pathname}`, url.searchParams, body)
      : { status: 429, body: { error: 'too many requests' } };
    sendJson(res, response.status, response.body);
  }

  private async answer(route: string, query: URLSearchParams, body: unknown): Promise<CloudResponse> {
    if (route === 'GET /machine_types') return { status: 200, body: this.types() };
    if (route === 'POST /rentals') return this.rent(body as RentalRequest);
    if (route === 'GET /rentals') return { status: 200, body: this.list(query) };
    if (route === 'POST /rentals/delete') return this.remove((body as { hosts: string[] }).hosts);
    return { status: 404, body: { error: 'not found' } };
  }

  private types(): object {
    const { cpusOfMachine: cpus, zones: yards } = this.limits;
    const rate = { price: 1, marketPrice: 1, bootS: bootMs.most / 1000, fetchGbPerS: 1 };
    const size = { cpus, cards: 0, memGb: cpus * gbPerCpu, localGb: 100 };
    return { flavours: [{ name: machineType, ...size, ...rate, yards }] };
  }

  private rent({ hire, yard, loaners, howMany }: RentalRequest): CloudResponse {
    const existing = this.rentals.get(hire);
    if (existing) return { status: 200, body: { hosts: existing } };
    const { machines: capacity, zones } = this.limits;
    const inZone = [...this.machines.values()].filter((m) => m.zone === yard).length;
    const free = Math.ceil(capacity / zones.length) - inZone;
    const count = Math.min(howMany, free, capacity - this.machines.size);
    if (loaners || count <= 0) return { status: 503, body: { error: 'no capacity' } };
    const hosts = Array.from({ length: count }, () => this.boot(yard));
    this.rentals.set(hire, hosts);
    return { status: 200, body: { hosts } };
  }

  private boot(zone: string): string {
    const host = `n-${String(++this.bootedCount).padStart(6, '0')}`;
    const machine = { host, zone, rentedAt: performance.now(), endpoint: '', up: false, diedAt: null };
    this.machines.set(host, machine);
    const afterMs = bootMs.least + this.random() * (bootMs.most - bootMs.least);
    setTimeout(() => this.machines.has(host) && this.listener.booted({ host, zone }), afterMs);
    return host;
  }

  private async remove(hosts: string[]): Promise<CloudResponse> {
    const known = hosts.filter((host) => this.machines.has(host));
    await this.listener.removeMachines(known);
    for (const host of known) {
      const machine = this.machines.get(host);
      if (machine) this.removedMachines.set(host, { ...machine, removedAt: performance.now() });
      this.machines.delete(host);
    }
    return { status: 200, body: {} };
  }

  private list(query: URLSearchParams): object {
    const at = performance.now() - this.limits.listLagS * 1000;
    for (const [host, removed] of this.removedMachines)
      if (removed.removedAt <= at) this.removedMachines.delete(host);
    const from = query.get('from') ?? '';
    const limit = Math.min(500, Number(query.get('limit') ?? 500));
    const all = [...this.machines.values(), ...this.removedMachines.values()]
      .filter((m) => m.rentedAt <= at && m.host > from)
      .sort((a, b) => (a.host < b.host ? -1 : 1));
    return { hosts: all.slice(0, limit).map((m) => this.listEntry(m, at)), hasNext: all.length > limit };
  }

  private listEntry(m: Machine, at: number): object {
    const failed = m.diedAt !== null && at - m.diedAt > deadMachineListedMs;
    const status = failed ? 'failed' : m.up ? 'running' : 'starting';
    const ageS = (at - m.rentedAt) / 1000;
    const { host: nameId, endpoint, zone: yard } = m;
    return { nameId, endpoint, flavour: machineType, yard, loaners: false, status, ageS };
  }
}
