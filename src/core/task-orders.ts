/** Creates orders for workers, and sends those that do not wait for a heartbeat. */
import type { StopOrder } from '../model/heartbeat.js';
import type { Effect } from './effects.js';
import { isPlaced } from './shard-state/jobs.js';
import type { ShardState } from './shard-state/shard-state.js';
import type { Placement, ScheduledMachine, StopRequest } from './shard-state/types.js';

/** The maximum number of orders in one message to a worker. */
export const maxOrdersPerMessage = 400;

/** Creates the order that stops a task. */
export const stopOrder = ({ job, index, attempt }: Placement, { graceS }: StopRequest): StopOrder => ({
  op: 'stop',
  job: job.id,
  index,
  attempt,
  graceS,
});

/**
 * Sends the stop orders that workers have not received yet, without waiting for their heartbeats: a cancelled task only wastes
 * resources, and the tasks of a gang must receive a graceful stop at about the same time.
 */
export function sendStops({ unsentStops, machines }: ShardState, out: Effect[]): void {
  for (const [host, placements] of unsentStops.entries()) {
    const machine = machines.get(host);
    if (!machine || !isReachable(machine)) continue;
    const orders: StopOrder[] = [];
    for (const placement of placements) {
      if (orders.length >= maxOrdersPerMessage) break;
      const { stopRequest } = placement;
      if (stopRequest === null || placement.job.unreadable || isNeitherSentNorListed(placement)) continue;
      unsentStops.delete(placement);
      orders.push(stopOrder(placement, stopRequest));
    }
    if (orders.length > 0) out.push(sendOrders(machine, orders));
  }
}

/**
 * In a pool, asks machines for a heartbeat when tasks are to be started on them. The start orders are sent with the response to that
 * heartbeat. If they were sent immediately, a heartbeat that was already in transit and does not list the task would be taken as proof
 * that the task is not on the machine, and the start could be executed after that.
 */
export function requestHeartbeats(shardState: ShardState, out: Effect[]): void {
  const { unsentStarts } = shardState;
  if (unsentStarts.size === 0) return;
  const requested = new Set<ScheduledMachine>();
  for (const placement of unsentStarts) {
    const isWaiting = isPlaced(placement) && placement.startSentWith === null;
    if (isWaiting && !shardState.mayStart(placement)) continue;
    unsentStarts.delete(placement);
    const machine = shardState.machines.get(placement.host);
    if (isWaiting && machine && isReachable(machine)) requested.add(machine);
  }
  for (const machine of requested) out.push(sendOrders(machine, []));
}

/** Whether this process has not sent the start of a placement, and no worker has listed it. */
const isNeitherSentNorListed = ({ startSentWith, phase }: Placement): boolean =>
  startSentWith === null && phase === 'placed';

const isReachable = ({ endpoint, confirmedAt }: ScheduledMachine): boolean =>
  endpoint !== '' && confirmedAt > 0;

const sendOrders = (machine: ScheduledMachine, orders: StopOrder[]): Effect => ({
  type: 'send-task-commands',
  host: machine.host,
  endpoint: machine.endpoint,
  token: machine.fencingToken,
  session: machine.agentEpoch,
  orders,
});
