/** Dispatch of commands to a controller's components. */
import type { Matcher } from '../../policy/matching.js';
import type { Clock, Command, Effect, Log } from '../effects.js';
import type { ControllerComponents } from './components.js';

/** Dependencies of the command handlers. */
export interface CommandContext {
  readonly components: ControllerComponents;
  readonly clock: Readonly<Clock>;
  readonly log: Log;
  readonly matcher: Matcher | null;
  /** Requests that the owned shards be reconciled with the replica. */
  readonly onShardsChanged: () => void;
  /** Notifies the peers immediately that the state has reached a revision. */
  readonly announceRevision: (revision: number, effects: Effect[]) => void;
}

type Handler<C extends Command> = (command: C, context: CommandContext, effects: Effect[]) => void;
type Handlers = { readonly [T in Command['type']]: Handler<Extract<Command, { type: T }>> };
type HandlersOf<T extends Command['type']> = Pick<Handlers, T>;

/** Handlers for requests from users and workers. */
const requestHandlers: HandlersOf<'submit' | 'query' | 'cancel' | 'heartbeat' | 'forwarded-response'> = {
  submit: (c, { components }, effects) => components.userRequests.submit(c.requestId, c.spec, effects),
  query: (c, { components }, effects) => components.userRequests.query(c.requestId, c.id, effects),
  cancel: (c, { components }, effects) => components.userRequests.cancel(c.requestId, c.id, effects),
  heartbeat: (c, { components }, effects) =>
    components.heartbeatRouter.route(c.requestId, c.report, c.from ?? null, effects),
  'forwarded-response': (c, { components }, effects) =>
    components.heartbeatRouter.onForwardedResponse(c.requestId, c.status, c.body, effects),
};

/** Handlers for messages from other controllers and for lost connections to them. */
const peerHandlers: HandlersOf<
  'peer-status' | 'peer-lost' | 'rejected-jobs' | 'freshness-query' | 'freshness-confirmed'
> = {
  'peer-status': (c, { components }, effects) => {
    const { dataLossRecovery, freshnessExchange, peers, replica } = components;
    freshnessExchange.recordPeerProcess(c.from, c.status.instanceId);
    peers.onStatus(c.from, c.status);
    dataLossRecovery.monitor.peerReported(c.status);
    if (c.status.revision > replica.watchRevision)
      effects.push({ type: 'catch-up', revision: c.status.revision });
  },
  'peer-lost': (c, { components, log }, effects) => {
    // The process has most likely ended, so its lease is revoked instead of waiting for it to expire. If it is still
    // running, it obtains a new lease, and fencing tokens protect against conflicting actions in the meantime.
    const presence = components.replica.presences.get(c.member);
    if (!presence || components.freshness.isStale) return;
    log('info', 'peer lost', { member: c.member });
    effects.push({ type: 'revoke-lease', leaseId: presence.leaseId });
  },
  'rejected-jobs': (c, { components }) => components.userRequests.recordPeerRejections(c.list),
  'freshness-query': (c, { components }, effects) =>
    components.freshnessExchange.onQuery(c.from, c.query, effects),
  'freshness-confirmed': (c, { components: { freshness, freshnessExchange } }) =>
    freshness.onConfirmedByPeers(
      freshnessExchange.onConfirmation(c.from, c.instanceId, c.query, c.known, freshness.completeUpTo),
    ),
};

/** Handlers for results of requests to the state service and for events of its watch. */
const stateServiceHandlers: HandlersOf<
  | 'snapshot-progress'
  | 'snapshot-loaded'
  | 'changes'
  | 'commit-result'
  | 'revision-read'
  | 'audit-result'
  | 'lease-granted'
  | 'lease-renewal-result'
> = {
  'snapshot-progress': (c, { log }) => log('info', 'reading state', { keys: c.keys }),
  'snapshot-loaded': (c, { components, log, onShardsChanged }) => {
    components.dataLossRecovery.monitor.snapshotLoaded(c.items, c.revision);
    components.replica.loadSnapshot(c.items, c.revision);
    components.freshnessExchange.onStateLoaded(c.revision);
    log('info', 'state loaded', { epoch: c.revision, keys: c.items.length });
    onShardsChanged();
  },
  changes: (c, { components }) => components.replica.applyWatch(c.changes, c.revision),
  'commit-result': ({ outcome }, { announceRevision, clock, components }, effects) => {
    if (outcome.type === 'ok') components.dataLossRecovery.monitor.revisionReached(outcome.revision);
    components.batcher.handleOutcome(outcome, clock.now, effects);
    // Lets the peers catch up without waiting for the next event of their own watch.
    if (outcome.type === 'ok') announceRevision(outcome.revision, effects);
  },
  'revision-read': (c, { components }, effects) => {
    const { dataLossRecovery, freshness, userRequests } = components;
    dataLossRecovery.monitor.revisionRead(c.sentAt, c.revision);
    freshness.onRevisionRead(c.sentAt, c.revision);
    userRequests.onRevisionRead(c.sentAt, c.revision, effects, freshness.isConfirmedByPeers);
  },
  'audit-result': (c, { components }) =>
    components.dataLossRecovery.monitor.auditPageRead(c.from, c.items, c.more, c.revision),
  'lease-granted': (c, { clock, components }) => components.membership.onLeaseGranted(c.leaseId, clock.now),
  'lease-renewal-result': (c, { clock, components }) =>
    components.membership.onLeaseRenewed(c.leaseId, c.outcome, clock.now),
};

/** Handlers for results of cloud requests and for other information about machines. */
const machineHandlers: HandlersOf<
  | 'machine-attributes'
  | 'forget-machine'
  | 'machine-types'
  | 'rental-result'
  | 'deletion-result'
  | 'machine-list'
> = {
  'machine-attributes': (c, { matcher }) => matcher?.setAttributes(c.host, c.attributes),
  'forget-machine': (c, { components }) => components.autoscaler.forgetMachine(c.host),
  'machine-types': (c, { components }) => components.autoscaler.handleMachineTypes(c.types),
  'rental-result': (c, { components }) => components.autoscaler.handleRental(c.request, c.outcome),
  'deletion-result': (c, { components }) => components.autoscaler.handleDeletion(c.hosts, c.ok),
  'machine-list': (c, { components }) => components.autoscaler.handleListing(c.machines, c.askedAt),
};

/** Handlers for commands from the process itself. */
const processHandlers: HandlersOf<'tick' | 'load' | 'shut-down' | 'stop-gang'> = {
  tick: () => undefined,
  load: (c, { components }) => {
    components.loadSharing.onLoadMeasured(c.busy, c.connections);
    components.admission.onLoadMeasured(c);
  },
  'shut-down': (_, { clock, components, log }) => {
    const { membership, shardManager, shutdown } = components;
    if (shutdown.requested) return;
    shutdown.begin(clock.now);
    log('info', 'leaving', { shards: [...shardManager.ownedShards], leading: membership.isLeader });
  },
  'stop-gang': (c, { components: { shardManager } }) => {
    const job = shardManager.shardState.jobs.get(c.id);
    if (job) shardManager.shardState.stopGang(job);
  },
};

const handlers: Handlers = {
  ...requestHandlers,
  ...peerHandlers,
  ...stateServiceHandlers,
  ...machineHandlers,
  ...processHandlers,
};

/** Handles one command, appending the resulting effects to `effects`. */
export function handleCommand(command: Command, context: CommandContext, effects: Effect[]): void {
  // The compiler cannot infer that the handler found under a command's type accepts exactly that command.
  const handler = handlers[command.type] as Handler<Command>;
  handler(command, context, effects);
}
