/** The platform process of a scale run: a simulated state service and a simulated cloud on loopback. */
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { leaderKey, legacyLeaderKey, shardKey } from '../src/core/storage/index.js';
import { seededRandom } from '../src/retry/index.js';
import { lagMeter, listenToParent, sendToParent } from './child.js';
import { SimulatedCloud } from './cloud.js';
import type { FromPlatform, PlatformStart, ToPlatform } from './messages.js';
import { SimulatedStateService } from './state-service.js';

const addressOf = (server: Server): string => `127.0.0.1:${(server.address() as AddressInfo).port}`;

const reportPlacement = (job: string, at: number): void =>
  sendToParent<FromPlatform>({ kind: 'placed', jobs: [[job, at]] });

class Platform {
  private readonly pendingRemovals = new Map<number, () => void>();
  private removalCount = 0;
  private readonly lag = lagMeter();

  private constructor(
    private readonly state: SimulatedStateService,
    private cloud: SimulatedCloud | null,
  ) {}

  static async start(options: PlatformStart): Promise<Platform> {
    const platform = new Platform(await SimulatedStateService.start(options, reportPlacement), null);
    const cloud = new SimulatedCloud(options, seededRandom(options.seed + 1), {
      booted: (machine) => sendToParent<FromPlatform>({ kind: 'booted', machines: [machine] }),
      removeMachines: (hosts) => platform.requestRemoval(hosts),
    });
    platform.cloud = cloud;
    await new Promise<void>((resolve) => cloud.server.listen(0, '127.0.0.1', () => resolve()));
    const [state, address] = [addressOf(platform.state.server), addressOf(cloud.server)];
    sendToParent<FromPlatform>({ kind: 'ready', state, cloud: address });
    return platform;
  }

  private requestRemoval(hosts: string[]): Promise<void> {
    const request = ++this.removalCount;
    sendToParent<FromPlatform>({ kind: 'remove', request, hosts });
    return new Promise((resolve) => this.pendingRemovals.set(request, resolve));
  }

  receive(message: Exclude<ToPlatform, PlatformStart>): void {
    switch (message.kind) {
      case 'listening':
        for (const [host, endpoint] of message.endpoints) this.cloud!.workerListening(host, endpoint);
        break;
      case 'removed':
        this.pendingRemovals.get(message.request)?.();
        this.pendingRemovals.delete(message.request);
        break;
      case 'died':
        for (const host of message.hosts) this.cloud!.machineDied(host);
        break;
      case 'outage':
        this.state.beginOutage(message.durationMs);
        break;
      case 'report':
        sendToParent<FromPlatform>({
          kind: 'status',
          counts: this.state.counts,
          owner: this.state.read(shardKey(0), 'owner'),
          leader: this.state.read(leaderKey, 'member') ?? this.state.read(legacyLeaderKey, 'member'),
          lag: this.lag(),
        });
        break;
    }
  }
}

let platform: Platform | null = null;
listenToParent<ToPlatform>((message) => {
  if (message.kind === 'start') void Platform.start(message).then((started) => (platform = started));
  else platform?.receive(message);
});
