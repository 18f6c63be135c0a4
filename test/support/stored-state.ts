/** Writes records directly into the scripted state service, as earlier builds stored them. */
import { BitSet, chunkData, openJobData } from '../../src/core/storage/index.js';
import { spec } from './fixtures.js';
import { World } from './world.js';

/** A key of the state service and its value. */
export interface KeyValue {
  key: string;
  data: Record<string, unknown>;
}
/** A placement: job, task index, attempt, machine. */
export type PlacementTuple = [string, number, number, string];

/** Writes a record; undefined deletes it. */
export const put = (w: World, key: string, data: Record<string, unknown> | undefined): void =>
  void w.state.commit({ conditions: [], writes: [{ key, data }] });

/** A simulated cluster whose controllers find these records when they start. */
export function worldWithRecords(keys: KeyValue[], nodes = 3): World {
  const w = new World(nodes);
  for (const { key, data } of keys) if (!/^dp\/(node|lead)/.test(key)) put(w, key, data);
  for (const n of w.nodes) n.boot();
  return w;
}

/** Adds workers that run the given placements. */
export function addWorkersFor(w: World, placed: PlacementTuple[]): void {
  const hosts = [...new Set(placed.map((p) => p[3]))].sort();
  for (let n = 1; n <= Number(hosts.at(-1)?.slice(2)); n++)
    w.addWorker('box', n % 2 ? 'north' : 'south', false);
  for (const [job, index, attempt, host] of placed)
    w.workers.get(host)!.tasks.set(`${job}/${index}`, {
      report: { job, index, attempt, phase: 'running', exitReason: null, saved: false },
      since: w.now,
    });
}

/** The state of a chunk without placements. */
export const emptyChunkState = { lastAttempt: 0, done: new BitSet(), placements: [], failedHosts: [] };

/** Records in the old format with 100,000 tasks: 400 small running services, and large arrays that wait for machines. */
export function recordsOf100000Tasks(): { keys: KeyValue[]; placed: PlacementTuple[] } {
  const keys: KeyValue[] = [];
  const placed: PlacementTuple[] = [];
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
  // These jobs wait for machines of a type and zone that are not available.
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
