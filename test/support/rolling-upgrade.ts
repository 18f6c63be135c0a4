/** Rolling-upgrade scenarios in the simulated cluster, with controllers of an earlier and of the current program side by side. */
import assert from 'node:assert/strict';
import { operatorDefaults, type OperatorSettings } from '../../src/config/operators.js';
import { levelData, levelKey, requestedLevelData } from '../../src/core/storage/index.js';
import { newestLevel, noRequestedLevel, type RequestedLevel } from '../../src/feature-levels/index.js';
import { Traffic } from './traffic.js';
import { thisProgram, type Node } from './controller-node.js';
import { spec } from './fixtures.js';
import { World } from './world.js';

/**
 * The two programs of a rolling upgrade. The earlier one is either really built from an earlier revision, or it is the current
 * one with its feature level limited.
 */
export interface ProgramVersions {
  /** Makes a node run the earlier program from its next start. */
  installEarlier(n: Node): void;
  /** Makes a node run the current program from its next start. */
  installCurrent(n: Node): void;
  /** The feature level in force while all controllers run the earlier program. */
  earlierLevel: number;
  /**
   * Whether the earlier program knows feature levels. If so, it stands by and logs this when it restarts after the level was
   * raised; a program without levels cannot.
   */
  earlierKnowsLevels: boolean;
}

/** Operator settings that limit the current program to a level: it then writes only what programs of that level write. */
export const limitedTo = (level: number): OperatorSettings => ({ ...operatorDefaults, 'level-most': level });
/** Operator settings that limit the current program to level 1, that of programs without feature levels. */
export const limitedToLevel1 = limitedTo(1);

/** The stored feature level, and the level up to which records are written; both 1 if no level is stored. */
export const levelOf = (w: World): { level: number; write: number } =>
  (w.state.entries.get(levelKey)?.data as { level: number; write: number } | undefined) ?? {
    level: 1,
    write: 1,
  };

/** A running controller that owns shards. */
export const ownerOf = (w: World): Node | undefined =>
  w.nodes.find((n) => n.alive && n.controller.shardManager.ownedShards.size > 0);
/** The running controller that is the leader. */
export const leaderOf = (w: World): Node | undefined =>
  w.nodes.find((n) => n.alive && n.controller.membership.isLeader);

/** Kills a controller and starts it again after `downtimeS` seconds, with the program that `install` selects. */
export function restart(w: World, n: Node, install: (n: Node) => void, downtimeS = 2): void {
  n.alive = false;
  w.advance(downtimeS);
  install(n);
  n.boot();
}

/** Stores a level request of the operators, as the command line does. */
export function requestLevel(w: World, request: Partial<RequestedLevel>): void {
  const key = 'dp/wish';
  const data = requestedLevelData({ ...noRequestedLevel, ...request });
  const outcome = w.state.commit({ conditions: [], writes: [{ key, data }] });
  assert.equal(outcome.type, 'ok');
}

/** Starts three controllers with the earlier program and advances until they serve jobs under load. */
export function startEarlierPrograms(
  versions: ProgramVersions,
  submitEveryMs = 1000,
): { w: World; users: Traffic } {
  const w = new World(3);
  w.crashesAllowed = true;
  w.capacity = 20;
  for (const n of w.nodes) {
    versions.installEarlier(n);
    n.boot();
  }
  assert.ok(
    w.advanceUntil(() => w.nodes.every((n) => n.controller.replica.machineTypes.length > 0), 20),
    'not all controllers loaded the machine types in time',
  );
  assert.ok(
    w.advanceUntil(() => w.nodes.every((n) => n.controller.replica.shards.size > 0), 20),
    'the shards were not granted in time',
  );
  const users = new Traffic(w, submitEveryMs, (n) =>
    n % 5 === 0 ? { tasks: 3, shape: 'gang', cpus: 2 } : n % 4 === 0 ? { tasks: 40 } : {},
  );
  w.advance(12);
  return { w, users };
}

/** Whether the stored level is the newest that the current program knows. */
export const isAtNewestLevel = (w: World): boolean => levelOf(w).level === newestLevel;

/** Advances until every job is known to be done or aborted, and checks that no invariant was violated. */
export function finishAndCheck(w: World, users: Traffic, withinS = 240): void {
  users.stopSubmitting();
  const allFinished = w.advanceUntil(() => users.allEnded, withinS);
  assert.deepEqual(w.violations, []);
  const unfinished = [...users.jobs.keys()].filter(
    (id) => !['done', 'aborted'].includes(users.reportedStatus.get(id) ?? ''),
  );
  assert.ok(allFinished, `jobs that are neither done nor aborted: ${unfinished.join(' ')}`);
}

/** Upgrades controllers to the current program one after the other; the level must not be raised before the last one. */
export function upgradeAll(w: World, versions: ProgramVersions, order: number[], intervalS = 6): void {
  for (const i of order) {
    assert.equal(
      levelOf(w).level,
      versions.earlierLevel,
      'the level was raised before all controllers run the current program',
    );
    restart(w, w.nodes[i], versions.installCurrent);
    w.advance(intervalS);
  }
}

/** The scenarios by title. A scenario that fails throws an assertion error. */
export const scenarios: Record<string, (versions: ProgramVersions) => void> = {
  'controllers are upgraded one at a time, in every order, under load'(versions) {
    for (const order of [
      [0, 1, 2],
      [0, 2, 1],
      [1, 0, 2],
      [1, 2, 0],
      [2, 0, 1],
      [2, 1, 0],
    ]) {
      const { w, users } = startEarlierPrograms(versions);
      upgradeAll(w, versions, order);
      assert.ok(
        w.advanceUntil(() => isAtNewestLevel(w), 10),
        'the level was not raised',
      );
      w.advance(10);
      finishAndCheck(w, users);
    }
  },
  'the leader is upgraded first; the owner of shards is upgraded first'(versions) {
    for (const selectFirst of [leaderOf, ownerOf]) {
      const { w, users } = startEarlierPrograms(versions);
      const replaced = new Set<Node>();
      for (let i = 0; i < 3; i++) {
        const n = selectFirst(w);
        const next = n && !replaced.has(n) ? n : w.nodes.find((x) => !replaced.has(x))!;
        replaced.add(next);
        restart(w, next, versions.installCurrent);
        w.advance(6);
      }
      assert.ok(
        w.advanceUntil(() => isAtNewestLevel(w), 10),
        'the level was not raised',
      );
      finishAndCheck(w, users);
    }
  },
  'a controller is cut off from the state service or its peers, paused or rate-limited while the level is raised'(
    versions,
  ) {
    for (const failure of ['cutFromState', 'isolatedFromPeers', 'paused', 'rateLimited'] as const)
      for (const failing of [1, 2]) {
        const { w, users } = startEarlierPrograms(versions);
        restart(w, w.nodes[1], versions.installCurrent);
        w.advance(6);
        restart(w, w.nodes[2], versions.installCurrent);
        w.advance(6);
        w.nodes[failing][failure] = true;
        w.advance(1);
        restart(w, w.nodes[0], versions.installCurrent);
        // The failing controller was already seen with the current program, so raising the level does not wait for it.
        assert.ok(
          w.advanceUntil(() => isAtNewestLevel(w), 25),
          `the level was not raised; failure: ${failure}`,
        );
        w.advance(4);
        w.nodes[failing][failure] = false;
        w.advance(10);
        finishAndCheck(w, users);
      }
  },
  'all controllers are killed during the migration of records, which continues after their restart'(
    versions,
  ) {
    const { w, users } = startEarlierPrograms(versions, 500);
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
      versions.installCurrent(n);
      n.boot();
    }
    assert.ok(
      w.advanceUntil(() => isAtNewestLevel(w), 20),
      'the level was not raised',
    );
    w.advance(0.3);
    for (const n of w.nodes) n.alive = false;
    w.advance(3);
    for (const n of w.nodes) n.boot();
    const isRewritten = (id: string) => (w.state.entries.get(`dp/j/${id}`)?.data as { v?: number })?.v === 2;
    assert.ok(
      w.advanceUntil(() => ['req-1', 'req-2', 'req-3'].every(isRewritten), 60),
      'the job records were not rewritten in format 2',
    );
    assert.equal(w.running('req-1').length, 1);
    finishAndCheck(w, users);
  },
  'the answer to the commit that raises the level is lost'(versions) {
    const { w, users } = startEarlierPrograms(versions);
    upgradeAll(w, versions, [0, 1], 6);
    w.nodes[2].alive = false;
    w.advance(2);
    versions.installCurrent(w.nodes[2]);
    w.nodes[2].boot();
    let lost = 0;
    w.state.dropsResponseTo = (txn) => txn.writes.some((a) => a.key === levelKey) && ++lost <= 3;
    assert.ok(
      w.advanceUntil(() => isAtNewestLevel(w), 25),
      'the level was not raised',
    );
    w.advance(10);
    assert.ok(lost >= 1, 'no answer was lost');
    assert.ok(w.nodes.every((n) => n.controller.replica.levels.state.level >= 2));
    finishAndCheck(w, users);
  },
  'delayed transactions of the earlier level have no harmful effect after the level was raised'(versions) {
    const { w, users } = startEarlierPrograms(versions, 300);
    restart(w, w.nodes[1], versions.installCurrent);
    w.advance(6);
    restart(w, w.nodes[2], versions.installCurrent);
    w.advance(6);
    // Transactions of the last controller with the earlier program are delayed until after the level was raised.
    w.nodes[0].holdsCommits = true;
    w.advance(3);
    const delayed = [...w.heldCommits];
    assert.ok(delayed.length > 0);
    w.nodes[0].alive = false;
    w.nodes[0].holdsCommits = false;
    w.advance(5);
    versions.installCurrent(w.nodes[0]);
    w.nodes[0].boot();
    assert.ok(
      w.advanceUntil(() => isAtNewestLevel(w), 25),
      'the level was not raised',
    );
    w.advance(3);
    for (const txn of delayed) {
      const outcome = w.state.commit(txn);
      if (outcome.type !== 'ok') continue;
      // A program that knows no levels sets no condition on the level, so it can still add new jobs, in format 1.
      assert.ok(!versions.earlierKnowsLevels, 'a transaction of the earlier level was applied');
      assert.ok(
        txn.writes.every((a) => /^dp\/(j|node)\//.test(a.key)),
        txn.writes.map((a) => a.key).join(),
      );
    }
    w.advance(5);
    finishAndCheck(w, users);
  },
  'a controller that restarts with the earlier program after the level was raised does no harm'(versions) {
    for (const index of [0, 1, 2]) {
      const { w, users } = startEarlierPrograms(versions);
      upgradeAll(w, versions, [0, 1, 2]);
      assert.ok(
        w.advanceUntil(() => isAtNewestLevel(w), 10),
        'the level was not raised',
      );
      w.advance(5);
      const n = w.nodes[index];
      restart(w, n, versions.installEarlier);
      w.advance(20);
      assert.equal(n.controller.membership.isLeader, false);
      assert.equal(n.controller.shardManager.ownedShards.size, 0);
      if (versions.earlierKnowsLevels) {
        assert.equal(n.controller.healthy, false);
        assert.equal(n.logLines.filter(([, message]) => message.startsWith('standing by')).length, 1);
        assert.equal(n.submit(spec('req-9'))?.status, 503);
        assert.equal(n.status('req-8')?.status, 503);
      }
      // This controller must not take over while all controllers with the current program are down.
      const others = w.nodes.filter((x) => x !== n);
      for (const x of others) x.alive = false;
      w.advance(25);
      assert.equal(n.controller.membership.isLeader, false);
      assert.equal(n.controller.shardManager.ownedShards.size, 0);
      for (const x of others) x.boot();
      w.advance(20);
      // Finally, it is upgraded again.
      restart(w, n, versions.installCurrent);
      w.advance(5);
      finishAndCheck(w, users);
    }
  },
  'rollback before the level is raised'(versions) {
    const { w, users } = startEarlierPrograms(versions);
    requestLevel(w, { maxLevel: versions.earlierLevel });
    for (const i of [0, 1, 2]) {
      restart(w, w.nodes[i], versions.installCurrent);
      w.advance(6);
    }
    w.advance(10);
    assert.equal(levelOf(w).level, versions.earlierLevel);
    for (const i of [2, 0, 1]) {
      restart(w, w.nodes[i], versions.installEarlier);
      w.advance(6);
    }
    assert.equal(levelOf(w).level, versions.earlierLevel);
    finishAndCheck(w, users);
  },
  'rollback after the level was raised: the level is lowered first'(versions) {
    const { w, users } = startEarlierPrograms(versions);
    upgradeAll(w, versions, [0, 1, 2]);
    assert.ok(
      w.advanceUntil(() => isAtNewestLevel(w), 10),
      'the level was not raised',
    );
    w.advance(10);
    requestLevel(w, { maxLevel: versions.earlierLevel, lower: true });
    assert.ok(
      w.advanceUntil(() => levelOf(w).level === versions.earlierLevel, 60),
      'the level was not lowered',
    );
    const keys = versions.earlierLevel > 1 ? [] : [...w.state.entries.values()];
    assert.deepEqual(
      keys.filter((k) => (k.data as { v?: number }).v === 2 || ['dp/chief', 'dp/kinds'].includes(k.key)),
      [],
    );
    w.advance(5);
    for (const i of [1, 0, 2]) {
      restart(w, w.nodes[i], versions.installEarlier);
      w.advance(6);
    }
    finishAndCheck(w, users);
  },
  'the current program crashes right after its first start'(versions) {
    const { w, users } = startEarlierPrograms(versions);
    restart(w, w.nodes[0], versions.installCurrent);
    w.advance(0.2);
    restart(w, w.nodes[0], versions.installEarlier);
    w.advance(8);
    assert.equal(levelOf(w).level, versions.earlierLevel);
    upgradeAll(w, versions, [0, 1, 2]);
    assert.ok(
      w.advanceUntil(() => isAtNewestLevel(w), 10),
      'the level was not raised',
    );
    finishAndCheck(w, users);
  },
  'two different earlier versions run at the same time'(versions) {
    const { w, users } = startEarlierPrograms(versions);
    // One of them knows feature levels, but not the newest: the current program, limited to the earlier level.
    const installLimited = (n: Node): void =>
      void Object.assign(n, { program: thisProgram, operators: limitedTo(versions.earlierLevel) });
    restart(w, w.nodes[0], installLimited);
    w.advance(6);
    restart(w, w.nodes[1], versions.installCurrent);
    w.advance(8);
    restart(w, w.nodes[2], versions.installCurrent);
    w.advance(8);
    assert.equal(levelOf(w).level, versions.earlierLevel);
    restart(w, w.nodes[0], versions.installCurrent);
    assert.ok(
      w.advanceUntil(() => isAtNewestLevel(w), 10),
      'the level was not raised',
    );
    restart(w, w.nodes[2], installLimited);
    w.advance(10);
    assert.equal(w.nodes[2].controller.healthy, false);
    restart(w, w.nodes[2], versions.installCurrent);
    w.advance(5);
    finishAndCheck(w, users);
  },
  'operators declare a member departed that never restarts'(versions) {
    const { w, users } = startEarlierPrograms(versions);
    w.nodes[2].alive = false;
    for (const i of [0, 1]) {
      restart(w, w.nodes[i], versions.installCurrent);
      w.advance(6);
    }
    w.advance(20);
    assert.equal(levelOf(w).level, versions.earlierLevel);
    requestLevel(w, { departedMembers: ['n2'] });
    assert.ok(
      w.advanceUntil(() => isAtNewestLevel(w), 10),
      'the level was not raised',
    );
    finishAndCheck(w, users);
  },
};

/** The data of a level record that requires a newer program than the current one. */
export const unsupportedLevelData = levelData(newestLevel + 1, newestLevel + 1);
