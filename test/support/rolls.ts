/** Rolling upgrades on the scripted world: scenarios that play two builds of the controllers side by side. */
import assert from 'node:assert/strict';
import { operatorDefaults, type OperatorSettings } from '../../src/config/operators.js';
import { levelData, levelKey, requestedLevelData } from '../../src/core/storage/index.js';
import { newestLevel, noRequestedLevel, type RequestedLevel } from '../../src/feature-levels/index.js';
import { Traffic } from './traffic.js';
import { thisProgram, type Node } from './controller-node.js';
import { spec } from './fixtures.js';
import { World } from './world.js';

/** How the earlier program is put into a node's place: the real one of an earlier build, or this one held at the old level. */
export interface Cast {
  earlier(n: Node): void;
  fresh(n: Node): void;
  /** The level of a fleet of the earlier program. */
  level: number;
  /** An old program that comes back after the switch says so by standing by; the real one cannot. */
  knowsLevels: boolean;
}

/** This program, held at the old level: it writes what the earlier program wrote. */
export const heldAt = (level: number): OperatorSettings => ({ ...operatorDefaults, 'level-most': level });
export const held = heldAt(1);

export const levelOf = (w: World): { level: number; write: number } =>
  (w.state.entries.get(levelKey)?.data as { level: number; write: number } | undefined) ?? {
    level: 1,
    write: 1,
  };

export const ownerOf = (w: World): Node | undefined =>
  w.nodes.find((n) => n.alive && n.controller.shardManager.ownedShards.size > 0);
export const leaderOf = (w: World): Node | undefined =>
  w.nodes.find((n) => n.alive && n.controller.membership.isLeader);

export function restart(w: World, n: Node, as: (n: Node) => void, downS = 2): void {
  n.alive = false;
  w.advance(downS);
  as(n);
  n.boot();
}

/** What operators say, as the command line writes it. */
export function wish(w: World, over: Partial<RequestedLevel>): void {
  const key = 'dp/wish';
  const data = requestedLevelData({ ...noRequestedLevel, ...over });
  const o = w.state.commit({ conditions: [], writes: [{ key, data }] });
  assert.equal(o.type, 'ok');
}

/** Three controllers of the old program that serve. */
export function oldWorld(cast: Cast, everyMs = 1000): { w: World; users: Traffic } {
  const w = new World(3);
  w.crashesAllowed = true;
  w.capacity = 20;
  for (const n of w.nodes) {
    cast.earlier(n);
    n.boot();
  }
  assert.ok(
    w.advanceUntil(() => w.nodes.every((n) => n.controller.replica.machineTypes.length > 0), 20),
    'up',
  );
  assert.ok(
    w.advanceUntil(() => w.nodes.every((n) => n.controller.replica.shards.size > 0), 20),
    'granted',
  );
  const users = new Traffic(w, everyMs, (n) =>
    n % 5 === 0 ? { tasks: 3, shape: 'gang', cpus: 2 } : n % 4 === 0 ? { tasks: 40 } : {},
  );
  w.advance(12);
  return { w, users };
}

export const atNewLevel = (w: World): boolean => levelOf(w).level === newestLevel;

/** Plays until everybody has their answer; then no rule may be broken. */
export function finish(w: World, users: Traffic, withinS = 240): void {
  users.stop();
  const over = w.advanceUntil(() => users.over, withinS);
  assert.deepEqual(w.violations, []);
  const open = [...users.jobs.keys()].filter((id) => !['done', 'aborted'].includes(users.told.get(id) ?? ''));
  assert.ok(over, `not over: ${open.join(' ')}`);
}

/** All three are replaced, one after the other. */
export function rollAll(w: World, cast: Cast, order: number[], pauseS = 6): void {
  for (const i of order) {
    assert.equal(levelOf(w).level, cast.level, 'raised before all have it');
    restart(w, w.nodes[i], cast.fresh);
    w.advance(pauseS);
  }
}

export const scenarios: Record<string, (cast: Cast) => void> = {
  'replaced one at a time, in each order, under load'(cast) {
    for (const order of [
      [0, 1, 2],
      [0, 2, 1],
      [1, 0, 2],
      [1, 2, 0],
      [2, 0, 1],
      [2, 1, 0],
    ]) {
      const { w, users } = oldWorld(cast);
      rollAll(w, cast, order);
      assert.ok(
        w.advanceUntil(() => atNewLevel(w), 10),
        'raised',
      );
      w.advance(10);
      finish(w, users);
    }
  },
  'leader first, and owner first'(cast) {
    for (const first of [leaderOf, ownerOf]) {
      const { w, users } = oldWorld(cast);
      const replaced = new Set<Node>();
      for (let i = 0; i < 3; i++) {
        const n = first(w);
        const next = n && !replaced.has(n) ? n : w.nodes.find((x) => !replaced.has(x))!;
        replaced.add(next);
        restart(w, next, cast.fresh);
        w.advance(6);
      }
      assert.ok(
        w.advanceUntil(() => atNewLevel(w), 10),
        'raised',
      );
      finish(w, users);
    }
  },
  'replaced while another is cut from the state service, from its peers, or stands still over the switch'(
    cast,
  ) {
    for (const trouble of ['cutFromState', 'isolatedFromPeers', 'paused', 'rateLimited'] as const)
      for (const hit of [1, 2]) {
        const { w, users } = oldWorld(cast);
        restart(w, w.nodes[1], cast.fresh);
        w.advance(6);
        restart(w, w.nodes[2], cast.fresh);
        w.advance(6);
        w.nodes[hit][trouble] = true;
        w.advance(1);
        restart(w, w.nodes[0], cast.fresh);
        // Both were seen with it: nobody waits for the one in trouble.
        assert.ok(
          w.advanceUntil(() => atNewLevel(w), 25),
          `raised, ${trouble}`,
        );
        w.advance(4);
        w.nodes[hit][trouble] = false;
        w.advance(10);
        finish(w, users);
      }
  },
  'all are killed in mid-migration, and go on'(cast) {
    const { w, users } = oldWorld(cast, 500);
    w.serviceJobs.add('req-1');
    for (const id of ['req-1', 'req-2', 'req-3']) {
      w.serviceJobs.add(id);
      w.nodes[0].push({
        type: 'submit',
        requestId: 1,
        spec: spec(id, { tasks: 1, team: 'blue', shape: 'service' }),
      });
    }
    w.advance(15);
    for (const n of w.nodes) n.alive = false;
    w.advance(3);
    for (const n of w.nodes) {
      cast.fresh(n);
      n.boot();
    }
    assert.ok(
      w.advanceUntil(() => atNewLevel(w), 20),
      'raised',
    );
    w.advance(0.3);
    for (const n of w.nodes) n.alive = false;
    w.advance(3);
    for (const n of w.nodes) n.boot();
    const whole = (id: string) => (w.state.entries.get(`dp/j/${id}`)?.data as { v?: number })?.v === 2;
    assert.ok(
      w.advanceUntil(() => ['req-1', 'req-2', 'req-3'].every(whole), 60),
      'rewritten',
    );
    assert.equal(w.running('req-1').length, 1);
    finish(w, users);
  },
  'the answer to the raising commit is lost'(cast) {
    const { w, users } = oldWorld(cast);
    rollAll(w, cast, [0, 1], 6);
    w.nodes[2].alive = false;
    w.advance(2);
    cast.fresh(w.nodes[2]);
    w.nodes[2].boot();
    let lost = 0;
    w.state.dropsResponseTo = (txn) => txn.writes.some((a) => a.key === levelKey) && ++lost <= 3;
    assert.ok(
      w.advanceUntil(() => atNewLevel(w), 25),
      'raised',
    );
    w.advance(10);
    assert.ok(lost >= 1, 'lost');
    assert.ok(w.nodes.every((n) => n.controller.replica.levels.state.level >= 2));
    finish(w, users);
  },
  'transactions of the old level that are carried out after the switch change nothing'(cast) {
    const { w, users } = oldWorld(cast, 300);
    restart(w, w.nodes[1], cast.fresh);
    w.advance(6);
    restart(w, w.nodes[2], cast.fresh);
    w.advance(6);
    // The last of the old ones writes on, late.
    w.nodes[0].holdsCommits = true;
    w.advance(3);
    const late = [...w.heldCommits];
    assert.ok(late.length > 0);
    w.nodes[0].alive = false;
    w.nodes[0].holdsCommits = false;
    w.advance(5);
    cast.fresh(w.nodes[0]);
    w.nodes[0].boot();
    assert.ok(
      w.advanceUntil(() => atNewLevel(w), 25),
      'raised',
    );
    w.advance(3);
    for (const txn of late) {
      const o = w.state.commit(txn);
      if (o.type !== 'ok') continue;
      // Without a condition on the level, a program that knows none can still add a job that was not there: format 1.
      assert.ok(!cast.knowsLevels, 'carried out');
      assert.ok(
        txn.writes.every((a) => /^dp\/(j|node)\//.test(a.key)),
        txn.writes.map((a) => a.key).join(),
      );
    }
    w.advance(5);
    finish(w, users);
  },
  'an old program that comes back after the switch does no harm'(cast) {
    for (const which of [0, 1, 2]) {
      const { w, users } = oldWorld(cast);
      rollAll(w, cast, [0, 1, 2]);
      assert.ok(
        w.advanceUntil(() => atNewLevel(w), 10),
        'raised',
      );
      w.advance(5);
      const n = w.nodes[which];
      restart(w, n, cast.earlier);
      w.advance(20);
      assert.equal(n.controller.membership.isLeader, false);
      assert.equal(n.controller.shardManager.ownedShards.size, 0);
      if (cast.knowsLevels) {
        assert.equal(n.controller.healthy, false);
        assert.equal(n.logLines.filter(([, what]) => what.startsWith('standing by')).length, 1);
        assert.equal(n.submit(spec('req-9'))?.status, 503);
        assert.equal(n.status('req-8')?.status, 503);
      }
      // All the new ones go for a while: it must not take over.
      const others = w.nodes.filter((x) => x !== n);
      for (const x of others) x.alive = false;
      w.advance(25);
      assert.equal(n.controller.membership.isLeader, false);
      assert.equal(n.controller.shardManager.ownedShards.size, 0);
      for (const x of others) x.boot();
      w.advance(20);
      // It is replaced at last.
      restart(w, n, cast.fresh);
      w.advance(5);
      finish(w, users);
    }
  },
  'rolled back before the switch'(cast) {
    const { w, users } = oldWorld(cast);
    wish(w, { maxLevel: cast.level });
    for (const i of [0, 1, 2]) {
      restart(w, w.nodes[i], cast.fresh);
      w.advance(6);
    }
    w.advance(10);
    assert.equal(levelOf(w).level, cast.level);
    for (const i of [2, 0, 1]) {
      restart(w, w.nodes[i], cast.earlier);
      w.advance(6);
    }
    assert.equal(levelOf(w).level, cast.level);
    finish(w, users);
  },
  'rolled back after the switch: the level is lowered first'(cast) {
    const { w, users } = oldWorld(cast);
    rollAll(w, cast, [0, 1, 2]);
    assert.ok(
      w.advanceUntil(() => atNewLevel(w), 10),
      'raised',
    );
    w.advance(10);
    wish(w, { maxLevel: cast.level, lower: true });
    assert.ok(
      w.advanceUntil(() => levelOf(w).level === cast.level, 60),
      'lowered',
    );
    const keys = cast.level > 1 ? [] : [...w.state.entries.values()];
    assert.deepEqual(
      keys.filter((k) => (k.data as { v?: number }).v === 2 || ['dp/chief', 'dp/kinds'].includes(k.key)),
      [],
    );
    w.advance(5);
    for (const i of [1, 0, 2]) {
      restart(w, w.nodes[i], cast.earlier);
      w.advance(6);
    }
    finish(w, users);
  },
  'a new program that crashes on its first try'(cast) {
    const { w, users } = oldWorld(cast);
    restart(w, w.nodes[0], cast.fresh);
    w.advance(0.2);
    restart(w, w.nodes[0], cast.earlier);
    w.advance(8);
    assert.equal(levelOf(w).level, cast.level);
    rollAll(w, cast, [0, 1, 2]);
    assert.ok(
      w.advanceUntil(() => atNewLevel(w), 10),
      'raised',
    );
    finish(w, users);
  },
  'two earlier versions at once'(cast) {
    const { w, users } = oldWorld(cast);
    // One knows levels already, but not this one.
    const between = (n: Node): void =>
      void Object.assign(n, { program: thisProgram, operators: heldAt(cast.level) });
    restart(w, w.nodes[0], between);
    w.advance(6);
    restart(w, w.nodes[1], cast.fresh);
    w.advance(8);
    restart(w, w.nodes[2], cast.fresh);
    w.advance(8);
    assert.equal(levelOf(w).level, cast.level);
    restart(w, w.nodes[0], cast.fresh);
    assert.ok(
      w.advanceUntil(() => atNewLevel(w), 10),
      'raised',
    );
    restart(w, w.nodes[2], between);
    w.advance(10);
    assert.equal(w.nodes[2].controller.healthy, false);
    restart(w, w.nodes[2], cast.fresh);
    w.advance(5);
    finish(w, users);
  },
  'a member that never comes back is named gone'(cast) {
    const { w, users } = oldWorld(cast);
    w.nodes[2].alive = false;
    for (const i of [0, 1]) {
      restart(w, w.nodes[i], cast.fresh);
      w.advance(6);
    }
    w.advance(20);
    assert.equal(levelOf(w).level, cast.level);
    wish(w, { departedMembers: ['n2'] });
    assert.ok(
      w.advanceUntil(() => atNewLevel(w), 10),
      'raised',
    );
    finish(w, users);
  },
};

/** A level that no program here knows, as a later one would bring it. */
export const laterLevel = levelData(newestLevel + 1, newestLevel + 1);
