/** Records put into the scripted state service by hand, as earlier builds stored them. */
import { BitSet, chunkData, openJobData } from '../../src/core/storage/index.js';
import { spec } from './fixtures.js';
import { World } from './world.js';

export interface Key {
  key: string;
  data: Record<string, unknown>;
}
/** Job, index, attempt, machine. */
export type Placing = [string, number, number, string];

export const put = (w: World, key: string, data: Record<string, unknown> | undefined): void =>
  void w.state.commit({ conditions: [], writes: [{ key, data }] });

/** A world whose controllers find this state when they start. */
export function found(keys: Key[], nodes = 3): World {
  const w = new World(nodes);
  for (const { key, data } of keys) if (!/^dp\/(node|lead)/.test(key)) put(w, key, data);
  for (const n of w.nodes) n.boot();
  return w;
}

/** Its workers run what the state says is placed. */
export function withWorkers(w: World, placed: Placing[]): void {
  const hosts = [...new Set(placed.map((p) => p[3]))].sort();
  for (let n = 1; n <= Number(hosts.at(-1)?.slice(2)); n++)
    w.addWorker('box', n % 2 ? 'north' : 'south', false);
  for (const [job, index, attempt, host] of placed)
    w.workers.get(host)!.tasks.set(`${job}/${index}`, {
      report: { job, index, attempt, phase: 'running', exitReason: null, saved: false },
      since: w.now,
    });
}

export const emptyChunkState = { lastAttempt: 0, done: new BitSet(), placements: [], failedHosts: [] };

/** State of the old format with 100,000 tasks: 400 small services that run, and large arrays that wait. */
export function manyTasks(): { keys: Key[]; placed: Placing[] } {
  const keys: Key[] = [];
  const placed: Placing[] = [];
  const host = (n: number): string => `n-${String(n).padStart(6, '0')}`;
  const hosts = Array.from({ length: 20 }, (_, i) => host(i + 1));
  const small = { shape: 'service' as const, tasks: 8, cpus: 0.01, memGb: 0.01, team: 'blue' };
  for (let i = 0; i < 400; i++) {
    const id = `req-${1000 + i}`;
    const p = Array.from({ length: 8 }, (_, k) => ({ index: k, attempt: k + 1, host: hosts[(i + k) % 20] }));
    for (const x of p) placed.push([id, x.index, x.attempt, x.host]);
    keys.push({ key: `dp/j/${id}`, data: openJobData(spec(id, small), 1e12) });
    keys.push({
      key: `dp/t/${id}/0`,
      data: chunkData({ ...emptyChunkState, lastAttempt: 8, placements: p }),
    });
  }
  // They wait for a kind of machine that is not to be had.
  for (let i = 0; i < 968; i++)
    keys.push({
      key: `dp/j/req-${5000 + i}`,
      data: openJobData(
        spec(`req-${5000 + i}`, { tasks: 100, team: 'red', types: ['box'], zone: 'south', cpus: 8 }),
        1e12,
      ),
    });
  keys.push({ key: 'dp/b/r-1', data: { f: 'box', y: 'north', l: false, s: 0, at: 0, h: hosts } });
  return { keys, placed };
}
