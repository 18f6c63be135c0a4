/** Simulated state service: this project's store in memory, with rate and size limits, delays and outages. */
import type { Server } from 'node:http';
import { seededRandom, type Random } from '../src/retry/index.js';
import { Engine, storeServer, type Disk, type Refusal, type RequestGate } from '../src/store/index.js';
import type { Transaction, Write } from '../src/wire/store.js';
import { isUrgentJob } from './jobs.js';
import { now, type PlatformCounts, type PlatformStart } from './messages.js';
import { purposeOf, StoredTasks } from './write-kinds.js';

const conditionsPerOperation = 4;
const usualDelayMs = 8;
const slowDelayMs = 300;
const slowShare = 0.001;

/** Persists nothing, since each run starts with an empty store. */
const memoryDisk: Disk = {
  load: () => Promise.resolve({ epoch: 0, nextHold: 1, entries: [], leases: [] }),
  write: () => Promise.resolve(),
  close: () => Promise.resolve(),
};

/** A token-bucket rate limiter. By default it allows bursts of one second's tokens. */
export class TokenBucket {
  private tokens: number;
  private filledAt: number;

  constructor(
    private readonly perS: number,
    private readonly now: () => number = () => performance.now(),
    private readonly burstS = 1,
  ) {
    this.tokens = perS * burstS;
    this.filledAt = now();
  }

  /** Takes `count` tokens and returns true, or takes none and returns false if there are fewer. */
  take(count: number): boolean {
    const now = this.now();
    const filled = this.tokens + ((now - this.filledAt) / 1000) * this.perS;
    this.tokens = Math.min(this.perS * this.burstS, filled);
    this.filledAt = now;
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }
}

/** Enforces the limits on requests, writes and sizes, delays each request, and rejects all of them during an outage. */
class LimitedGate implements RequestGate {
  readonly counts = {
    requests: 0,
    transactions: 0,
    writes: 0,
    refusedRequests: 0,
    refusedWrites: 0,
    bytesWritten: 0,
    writesByKind: {} as Record<string, number>,
  };
  outage = false;
  private readonly stored = new StoredTasks();
  private readonly requests: TokenBucket;
  private readonly writes: TokenBucket;

  constructor(
    private readonly limits: PlatformStart,
    private readonly random: Random,
    /** Called for each write that places an urgent job. */
    private readonly onPlacement: (job: string, at: number) => void,
  ) {
    this.requests = new TokenBucket(limits.requestsPerS);
    this.writes = new TokenBucket(limits.writesPerS);
  }

  async request(): Promise<Refusal | null> {
    this.counts.requests++;
    const slow = this.random() < slowShare;
    await new Promise((resolve) => setTimeout(resolve, this.random() * (slow ? slowDelayMs : usualDelayMs)));
    if (this.outage) return { status: 503, error: 'outage' };
    if (this.requests.take(1)) return null;
    this.counts.refusedRequests++;
    return { status: 429, error: 'too many requests' };
  }

  transaction(txn: Transaction): Refusal | null {
    const { txnOps, valueKb } = this.limits;
    this.counts.transactions++;
    if (txn.writes.length > txnOps || txn.conditions.length > txnOps * conditionsPerOperation)
      return { status: 400, error: 'transaction too large' };
    const sizes = txn.writes.map((w) =>
      w.data === undefined ? 0 : Buffer.byteLength(JSON.stringify(w.data)),
    );
    if (sizes.some((size) => size > valueKb * 1024)) return { status: 400, error: 'value too large' };
    if (!this.writes.take(txn.writes.length)) {
      this.counts.refusedWrites += txn.writes.length;
      return { status: 429, error: 'too many writes' };
    }
    this.counts.writes += txn.writes.length;
    this.counts.bytesWritten += sizes.reduce((sum, size) => sum + size, 0);
    for (const write of txn.writes) this.countWrite(write);
    return null;
  }

  private countWrite(write: Write): void {
    const { kind, placed } = purposeOf(write, this.stored);
    this.counts.writesByKind[kind] = (this.counts.writesByKind[kind] ?? 0) + 1;
    for (const job of placed) if (isUrgentJob(job)) this.onPlacement(job, now());
  }
}

/** An in-memory state service with the HTTP protocol of the real one, its limits and outages. */
export class SimulatedStateService {
  /** While an outage lasts, the engine's clock stands at this time, so that no lease expires. */
  private clockStoppedAt: number | null = null;

  private constructor(
    private readonly engine: Engine,
    private readonly gate: LimitedGate,
    readonly server: Server,
  ) {}

  /** Starts the service on a free loopback port. */
  static async start(
    limits: PlatformStart,
    placed: (job: string, at: number) => void,
  ): Promise<SimulatedStateService> {
    const gate = new LimitedGate(limits, seededRandom(limits.seed), placed);
    const holder: { service: SimulatedStateService | null } = { service: null };
    const clock = (): number => holder.service?.clockStoppedAt ?? performance.now();
    const ignore = (): void => undefined;
    const engine = await Engine.open(memoryDisk, ignore, ignore, clock);
    const service = new SimulatedStateService(engine, gate, storeServer(engine, '', gate));
    holder.service = service;
    await new Promise<void>((resolve) => service.server.listen(0, '127.0.0.1', () => resolve()));
    return service;
  }

  /** Rejects all requests for the given time. No lease expires meanwhile, and each gets its full duration again afterwards. */
  beginOutage(durationMs: number): void {
    this.gate.outage = true;
    this.clockStoppedAt = performance.now();
    setTimeout(() => {
      this.clockStoppedAt = null;
      this.engine.renewAllLeases();
      this.gate.outage = false;
    }, durationMs);
  }

  /** Reads a string field of a stored value; null: there is none. */
  read(key: string, field: string): string | null {
    const data = this.engine.get(key).entry?.data as Record<string, unknown> | undefined;
    const value = data?.[field];
    return typeof value === 'string' ? value : null;
  }

  get counts(): PlatformCounts {
    return { ...this.gate.counts, keys: this.engine.view().keys.size };
  }
}
