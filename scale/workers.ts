/** A hollow-worker process: up to thousands of hollow workers, each with its own loopback address and connection. */
import { createServer as createHttpServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { createServer, type AddressInfo, type Server } from 'node:net';
import { readJson, sendJson } from '../src/net/json.js';
import { seededRandom } from '../src/retry/index.js';
import { parseDirectOrders } from '../src/wire/agent.js';
import { lagMeter, listenToParent, sendToParent } from './child.js';
import {
  zeroWorkerCounts,
  now,
  type FromWorkers,
  type MachineSpec,
  type TaskEvent,
  type ToWorkers,
  type WorkerCounts,
  type WorkersStart,
} from './messages.js';
import { HollowWorker, type WorkerContext } from './worker.js';

const sendEventsIntervalMs = 100;
const maxBodyBytes = 64 * 1024;
const addressesInBlock = 250;

interface HostedWorker {
  worker: HollowWorker;
  listener: Server;
}

class WorkersProcess {
  private readonly hostedWorkers = new Map<string, HostedWorker>();
  private readonly byAddress = new Map<string, HollowWorker>();
  private readonly http = createHttpServer((req, res) => void this.serve(req, res));
  private events: TaskEvent[] = [];
  private assignedAddressCount = 0;
  private markedAt = 0;
  private readonly lag = lagMeter();
  private readonly context: WorkerContext;
  private readonly counts: WorkerCounts = { ...zeroWorkerCounts };

  constructor(private readonly options: WorkersStart) {
    this.context = {
      options,
      random: seededRandom(options.seed),
      counts: this.counts,
      emit: (event) => this.events.push(event),
      leaseRenewed: () => {
        this.counts.renewedSinceMark++;
        this.counts.slowestRenewalMs = now() - this.markedAt;
      },
    };
    setInterval(() => this.sendEvents(), sendEventsIntervalMs);
    sendToParent<FromWorkers>({ kind: 'ready' });
  }

  receive(message: Exclude<ToWorkers, WorkersStart>): void {
    switch (message.kind) {
      case 'add':
        for (const machine of message.machines) this.add(machine);
        break;
      case 'remove':
        this.removeAll(message.hosts);
        sendToParent<FromWorkers>({ kind: 'removed', request: message.request });
        break;
      case 'kill':
        this.removeAll(message.hosts);
        break;
      case 'restart':
        for (const host of message.hosts) this.hostedWorkers.get(host)?.worker.restart();
        break;
      case 'mark':
        this.mark();
        break;
      case 'report':
        sendToParent<FromWorkers>({ kind: 'status', counts: this.counts, lag: this.lag() });
        break;
    }
  }

  private mark(): void {
    this.markedAt = now();
    this.counts.renewedSinceMark = 0;
    this.counts.slowestRenewalMs = 0;
    for (const { worker } of this.hostedWorkers.values()) worker.renewalPending = true;
  }

  /** Removes machines. Their last events are sent before the removal is confirmed. */
  private removeAll(hosts: string[]): void {
    for (const host of hosts) this.remove(host);
    this.sendEvents();
  }

  private add(machine: MachineSpec): void {
    const n = this.options.firstAddress + this.assignedAddressCount++;
    const address = `127.${this.options.network}.${Math.floor(n / addressesInBlock)}.${1 + (n % addressesInBlock)}`;
    const listener = createServer((socket) => this.http.emit('connection', socket));
    listener.listen(0, address, () => {
      const endpoint = `${address}:${(listener.address() as AddressInfo).port}`;
      const worker = new HollowWorker(machine, address, endpoint, this.context);
      this.hostedWorkers.set(machine.host, { worker, listener });
      this.byAddress.set(address, worker);
      sendToParent<FromWorkers>({ kind: 'listening', endpoints: [[machine.host, endpoint]] });
    });
  }

  private remove(host: string): void {
    const hosted = this.hostedWorkers.get(host);
    if (!hosted) return;
    hosted.worker.end();
    hosted.listener.close();
    this.hostedWorkers.delete(host);
    this.byAddress.delete(hosted.worker.address);
  }

  private sendEvents(): void {
    if (this.events.length === 0) return;
    const { events } = this;
    this.events = [];
    sendToParent<FromWorkers>({ kind: 'events', events });
  }

  private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const worker = this.byAddress.get(req.socket.localAddress ?? '');
    if (!worker) return void res.destroy();
    if (req.url === '/show') return sendJson(res, 200, worker.buildHeartbeat());
    const body = parseDirectOrders(await readJson(req, maxBodyBytes));
    const status = body ? worker.executeOrders(body.token, body.session, body.orders) : 400;
    sendJson(res, status, worker.buildHeartbeat());
  }
}

let workers: WorkersProcess | null = null;
listenToParent<ToWorkers>((message) => {
  if (message.kind === 'start') workers = new WorkersProcess(message);
  else workers?.receive(message);
});
