/** Late copies of start orders: whether one that was carried out before can reach a machine once more, by each way that orders travel. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ForwardedHeartbeats, heartbeatIdCount } from '../src/peers/forwarded-heartbeats.js';
import type { Heartbeat } from '../src/model/heartbeat.js';
import type { Node } from './support/controller-node.js';
import { spec } from './support/fixtures.js';
import { ownerOf } from './support/rolling-upgrade.js';
import type { Worker } from './support/scripted-worker.js';
import { World } from './support/world.js';

/** The number that both requests of a worker have: the first in the process before the restart, the second in the one after it. */
const requestId = 7;

interface OrdersResponse {
  baton: number;
  orders: { verb: string; piece: string; try: number }[];
}

/** A worker that reaches only a controller that does not own its machine, which forwards its heartbeats to the owner. */
class ForwardedWorker {
  readonly world = new World(2);
  readonly owner: Node;
  readonly peer: Node;
  worker!: Worker;
  /** The response with the start of the task, on its way from the owner to the peer. */
  lateCopy!: () => void;

  constructor() {
    const { world } = this;
    world.taskDurationS = 1000;
    // The responses that this test has a worker carry out do not renew its lease.
    world.leaseMs = 60_000;
    world.advance(5);
    this.owner = ownerOf(world)!;
    this.peer = world.nodes.find((node) => node !== this.owner)!;
  }

  /**
   * Has the task's start travel by way of the peer while that ends and comes back within a second. The worker receives the start
   * with its next heartbeat, and runs the task.
   */
  startTaskWhilePeerRestarts(): void {
    const { world, owner, peer } = this;
    this.rentTwoMachines();
    assert.equal(owner.submit(spec('req-1', { team: 'blue', tasks: 1 }))?.status, 201);
    const isPlaced = (): boolean => this.placement !== undefined && this.isDurable;
    assert.ok(world.advanceUntil(isPlaced, 2), 'the task is placed');
    assert.equal(this.placement!.startSentWith, null);
    this.worker = world.workers.get(this.placement!.host)!;
    this.redirectToOwner();
    const held = (world.heldPeerResponses = []);
    this.sendHeartbeat(requestId);
    world.advance(0.05);
    world.heldPeerResponses = null;
    assert.equal(held.length, 1);
    [this.lateCopy] = held;
    assert.ok(this.placement!.startSentWith !== null, 'the start is in the held response');
    peer.alive = false;
    world.advance(0.5);
    peer.boot();
    const isReady = (): boolean => peer.controller.replica.machines.has(this.worker.host);
    assert.ok(world.advanceUntil(isReady, 5), 'the peer is back');
    world.advance(0.5);
    this.redirectToOwner();
    this.exchangeHeartbeat();
    assert.equal(world.running('req-1').length, 1);
  }

  /** Has another job rent machines that have room, and whose workers then send no heartbeats by themselves. */
  private rentTwoMachines(): void {
    const { world, owner } = this;
    assert.equal(owner.submit(spec('req-9', { team: 'blue', tasks: 2, cpus: 7 }))?.status, 201);
    assert.ok(
      world.advanceUntil(() => world.running('req-9').length === 2, 60),
      'two machines are up',
    );
    world.advance(2);
    for (const worker of world.workers.values()) worker.silent = true;
  }
  private get placement() {
    return this.owner.controller.shardManager.jobs.get('req-1')?.placements.get(0);
  }
  private get isDurable(): boolean {
    return this.owner.controller.shardManager.shardState.mayStart(this.placement!);
  }

  /** The peer redirects the worker to the owner; if the worker comes back, its heartbeats are forwarded. */
  private redirectToOwner(): void {
    this.sendHeartbeat(1);
    this.world.advance(0.02);
    assert.equal(this.peer.responses.get(1)?.status, 421);
  }
  private sendHeartbeat(id: number): void {
    this.peer.push({ type: 'heartbeat', requestId: id, report: this.worker.report() });
  }

  /** The worker sends a heartbeat by way of the peer, and executes the orders in the response. */
  exchangeHeartbeat(): void {
    this.sendHeartbeat(2);
    this.world.advance(0.05);
    this.executeResponse(2);
  }

  /** The worker sends a heartbeat by way of the peer; before the owner's response to it, the late copy arrives. */
  exchangeHeartbeatDuringLateCopy(): void {
    this.sendHeartbeat(requestId);
    this.peer.step();
    this.lateCopy();
    this.world.advance(0.05);
    this.executeResponse(requestId);
  }

  private executeResponse(id: number): void {
    const response = this.peer.responses.get(id)!;
    this.peer.responses.delete(id);
    assert.equal(response.status, 200);
    const { baton, orders } = response.body as unknown as OrdersResponse;
    const executed = orders.map(({ verb, piece, try: attempt }) => {
      const [job, index] = piece.split('/');
      const task = { job, index: Number(index), attempt };
      if (verb === 'run') return { op: 'start' as const, ...task };
      return verb === 'kill'
        ? { op: 'stop' as const, graceS: 0, ...task }
        : { op: 'forget' as const, ...task };
    });
    this.worker.execute(executed, baton);
  }
}

// Guards against a response to a heartbeat that a controller had forwarded before it was restarted: the process after it used the same
// numbers, and passed the response, with its start order, on to the worker as the one to a later heartbeat.
test('a late copy of a start order reaches no worker after the end of the task was recorded and cleared', () => {
  const forwarded = new ForwardedWorker();
  const { world, worker } = (forwarded.startTaskWhilePeerRestarts(), forwarded);
  const task = worker.tasks.get('req-1/0')!.report;
  Object.assign(task, { phase: 'exited', exitReason: 'done' });
  forwarded.exchangeHeartbeat();
  world.advance(2);
  forwarded.exchangeHeartbeat();
  assert.equal(worker.tasks.has('req-1/0'), false, 'the end is recorded and cleared');
  forwarded.exchangeHeartbeatDuringLateCopy();
  assert.equal(worker.tasks.has('req-1/0'), false);
  assert.equal(world.starts.filter(({ piece }) => piece === 'req-1/0').length, 1);
});

test('a late copy of a start order reaches no worker after the task was moved to another machine', () => {
  const forwarded = new ForwardedWorker();
  const { world, worker, owner } = (forwarded.startTaskWhilePeerRestarts(), forwarded);
  const task = worker.tasks.get('req-1/0')!.report;
  owner.controller.shardManager.shardState.machines.get(worker.host)!.quarantined = true;
  Object.assign(task, { phase: 'exited', exitReason: 'stopped', saved: true });
  forwarded.exchangeHeartbeat();
  for (const other of world.workers.values()) other.silent = other === worker;
  const isMoved = (): boolean => world.running('req-1').some(({ host }) => host !== worker.host);
  assert.ok(world.advanceUntil(isMoved, 12), 'the task runs on another machine');
  forwarded.exchangeHeartbeat();
  assert.equal(worker.tasks.has('req-1/0'), false, 'the end of the first attempt is cleared');
  forwarded.exchangeHeartbeatDuringLateCopy();
  assert.deepEqual(world.violations, []);
});

test('a late copy of a start order reaches no worker after the job was cancelled', () => {
  const forwarded = new ForwardedWorker();
  const { world, worker, owner } = (forwarded.startTaskWhilePeerRestarts(), forwarded);
  assert.equal(owner.cancel('req-1')?.status, 200);
  world.cancelledAt.set('req-1', world.now);
  forwarded.exchangeHeartbeat();
  world.advance(1);
  forwarded.exchangeHeartbeat();
  assert.equal(worker.tasks.has('req-1/0'), false, 'the cancelled task is cleared');
  forwarded.exchangeHeartbeatDuringLateCopy();
  assert.deepEqual(world.startsAfterCancellation, []);
  assert.equal(worker.tasks.has('req-1/0'), false);
});

// Guards against the same while the owner is of an earlier version, which returns nothing but the number of a heartbeat.
test('a late response that names no process answers no request of the process after a restart', () => {
  const heartbeat = new World(1).addWorker('box', 'north', false).report();
  const earlier = new ForwardedHeartbeats('r1', heartbeatIdCount - 1);
  const later = new ForwardedHeartbeats('r2', 1_000_000);
  const { id } = earlier.forward(requestId, heartbeat);
  const response = { type: 'forwarded-response', id, instanceId: '', status: 200, body: '{}' } as const;
  assert.equal(earlier.requestAnsweredBy(response), requestId);
  assert.notEqual(later.requestAnsweredBy(response), requestId);
});

/** What happens to a task between its start and the late copy of the heartbeat that was answered with it. */
const changes: readonly { title: string; change: (world: World, owner: Node, worker: Worker) => void }[] = [
  {
    title: 'its end was recorded and cleared',
    change: (world) => {
      world.taskDurationOf = () => 1;
      const isCleared = (): boolean => [...world.workers.values()].every(({ tasks }) => tasks.size === 0);
      assert.ok(world.advanceUntil(isCleared, 10));
    },
  },
  {
    title: 'it was moved to another machine',
    change: (world, owner, worker) => {
      const { shardState } = owner.controller.shardManager;
      shardState.machines.get(worker.host)!.quarantined = true;
      shardState.requestStop(shardState.jobs.get('req-1')!.placements.get(0)!, 0);
      const isMoved = (): boolean => world.running('req-1').some(({ host }) => host !== worker.host);
      assert.ok(world.advanceUntil(isMoved, 60));
    },
  },
  {
    title: 'its job was cancelled',
    change: (world, owner) => {
      assert.equal(owner.cancel('req-1')?.status, 200);
      assert.ok(world.advanceUntil(() => world.running('req-1').length === 0, 10));
    },
  },
  {
    title: 'all controllers were restarted within a second',
    change: (world) => {
      for (const node of world.nodes) node.alive = false;
      world.advance(0.5);
      for (const node of world.nodes) node.boot();
      assert.ok(world.advanceUntil(() => ownerOf(world) !== undefined, 20));
    },
  },
];

// Guards against a second response with the start order: the worker may receive it while it no longer holds the task.
for (const { title, change } of changes)
  test(`a late copy of the heartbeat that was answered with a start gets no start after ${title}`, () => {
    const world = new World(2);
    world.taskDurationS = 1000;
    world.advance(5);
    const firstOwner = ownerOf(world)!;
    assert.equal(firstOwner.submit(spec('req-1', { team: 'blue', tasks: 1 }))?.status, 201);
    let late: Heartbeat | undefined;
    const isStarted = (): boolean => {
      const [worker] = world.workers.values();
      if (worker && worker.fencingToken > 0 && worker.tasks.size === 0) late = worker.report();
      return world.running('req-1').length === 1;
    };
    assert.ok(world.advanceUntil(isStarted, 60));
    world.advance(3);
    const worker = world.workers.get(late!.host)!;
    change(world, firstOwner, worker);
    for (const node of world.nodes) {
      const response = node.request((id) => ({ type: 'heartbeat', requestId: id, report: late! }));
      const orders = (response?.body['orders'] ?? []) as OrdersResponse['orders'];
      assert.deepEqual(
        orders.filter(({ verb }) => verb === 'run'),
        [],
      );
    }
    assert.deepEqual(world.violations, []);
  });
