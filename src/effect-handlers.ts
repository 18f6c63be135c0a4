/** Executes the core's effects with the adapters of a process. */
import { performance } from 'node:perf_hooks';
import type { CloudProvider } from './cloud/cloud-provider.js';
import type { Command, Effect } from './core/effects.js';
import type { RecoveryRecords } from './core/recovery-records.js';
import type { ForwardedHeartbeats } from './peers/forwarded-heartbeats.js';
import type { PeerMesh } from './peers/mesh.js';
import type { Follower } from './state/follower.js';
import type { StateService } from './state/state-service.js';
import { encodeChanges } from './wire/store.js';
import type { WorkerClient } from './workers/worker-client.js';

/** The adapters and callbacks that effects are executed with. */
export interface EffectContext {
  readonly store: StateService;
  readonly cloud: CloudProvider;
  readonly workerClient: WorkerClient;
  readonly follower: Follower;
  /** null: there are no peers, or the mesh has not been started yet. */
  readonly peerMesh: PeerMesh | null;
  readonly forwardedHeartbeats: ForwardedHeartbeats;
  readonly instanceId: string;
  /** Queues a command. */
  readonly enqueue: (command: Command) => void;
  /** Queues the result of a request, unless the core has been restarted since. */
  readonly complete: (command: Command) => void;
  /** Sends the response to a request. */
  readonly respond: (response: Extract<Effect, { type: 'respond' }>) => void;
  /** Restarts the core with the records that it knew. */
  readonly restart: (recoveryRecords: RecoveryRecords) => void;
}

type Handler<E extends Effect> = (effect: E, context: EffectContext) => void;
type Handlers = { readonly [T in Effect['type']]: Handler<Extract<Effect, { type: T }>> };
type HandlersOf<T extends Effect['type']> = Pick<Handlers, T>;

/** Messages to other controllers. They are not acknowledged; the core repeats those that must arrive. */
const peerHandlers: HandlersOf<
  'forward-heartbeat' | 'peer-status' | 'rejected-jobs' | 'query-freshness' | 'confirm-freshness'
> = {
  'forward-heartbeat': ({ to, requestId, report }, { peerMesh, forwardedHeartbeats, enqueue }) => {
    if (!peerMesh?.send(to, forwardedHeartbeats.forward(requestId, report)))
      enqueue({ type: 'forwarded-response', requestId, status: 503, body: {} });
  },
  'peer-status': ({ status }, { peerMesh }) => peerMesh?.broadcast({ type: 'peer-status', status }),
  'rejected-jobs': ({ list }, { peerMesh }) =>
    peerMesh?.broadcast({ type: 'rejected-jobs', rejections: list }),
  'query-freshness': ({ query }, { peerMesh }) => peerMesh?.broadcast({ type: 'freshness-query', query }),
  'confirm-freshness': ({ to, query, known }, { peerMesh, instanceId }) => {
    const changes = encodeChanges(known);
    peerMesh?.send(to, { type: 'freshness-answer', query, instanceId, changes });
  },
};

/** Requests to the state service. */
const stateServiceHandlers: HandlersOf<
  'commit' | 'read-revision' | 'catch-up' | 'audit' | 'grant-lease' | 'renew-lease' | 'revoke-lease'
> = {
  commit: ({ txn }, { store, complete }) =>
    void store.commit(txn).then((outcome) => complete({ type: 'commit-result', outcome })),
  'read-revision': (_, { follower }) => follower.requestPoll(),
  'catch-up': ({ revision }, { follower }) => follower.requestRevision(revision),
  audit: ({ from, keys }, { store, complete }) =>
    void store.limitedPage(from, keys).then((page) => {
      const { items, more, revision } = page ?? { items: [], more: false, revision: null };
      complete({ type: 'audit-result', from, items, more, revision });
    }),
  'grant-lease': ({ ttlMs }, { store, complete }) =>
    void store.grantLease(ttlMs).then((leaseId) => complete({ type: 'lease-granted', leaseId })),
  'renew-lease': ({ leaseId }, { store, complete }) =>
    void store
      .renewLease(leaseId)
      .then((outcome) => complete({ type: 'lease-renewal-result', leaseId, outcome })),
  'revoke-lease': ({ leaseId }, { store }) => void store.revokeLease(leaseId),
};

/** Requests to the cloud and to workers. */
const machineHandlers: HandlersOf<
  'list-machine-types' | 'rent-machines' | 'delete-machines' | 'list-machines' | 'send-task-commands'
> = {
  'list-machine-types': (_, { cloud, complete }) =>
    void cloud.listMachineTypes().then((types) => complete({ type: 'machine-types', types })),
  'rent-machines': ({ request }, { cloud, complete }) =>
    void cloud.rentMachines(request).then((outcome) => complete({ type: 'rental-result', request, outcome })),
  'delete-machines': ({ hosts }, { cloud, complete }) =>
    void cloud.deleteMachines(hosts).then((ok) => complete({ type: 'deletion-result', hosts, ok })),
  'list-machines': (_, { cloud, complete }) => {
    const askedAt = performance.now();
    void cloud.listMachines().then((machines) => complete({ type: 'machine-list', machines, askedAt }));
  },
  'send-task-commands': ({ endpoint, token, session, orders }, { workerClient }) =>
    void workerClient.sendOrders(endpoint, token, session, orders),
};

const handlers: Handlers = {
  ...peerHandlers,
  ...stateServiceHandlers,
  ...machineHandlers,
  respond: (effect, { respond }) => respond(effect),
  restart: ({ recoveryRecords }, { restart }) => restart(recoveryRecords),
};

/** Executes one effect. The results of requests are queued as commands. */
export function executeEffect(effect: Effect, context: EffectContext): void {
  // The table maps each type to a handler of that type of effect, which the compiler cannot infer for the union.
  const handler = handlers[effect.type] as Handler<Effect>;
  handler(effect, context);
}
