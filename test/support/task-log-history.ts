/** Invariants of the task log that the transactions of a simulated cluster must satisfy. */
import { parseKey, decodeLogRecord } from '../../src/core/storage/index.js';
import { taskKey } from '../../src/model/job.js';
import type { Write } from '../../src/wire/store.js';
import type { World } from './world.js';

type StoredPlacement = [index: number, attempt: number, host: string];

interface TaskPlacement {
  job: string;
  index: number;
  host: string;
}

/** The placements that a write contains: in the log, in a chunk record, or in the record of a job. */
function placementsOf({ key, data }: Write): TaskPlacement[] {
  const ref = parseKey(key);
  if (!data || !ref) return [];
  if (ref.kind === 'log')
    return decodeLogRecord(data).flatMap(({ job, placements: placed }) =>
      placed.map(({ index, host }) => ({ job, index, host })),
    );
  if (ref.kind !== 'chunk' && ref.kind !== 'job') return [];
  const tasks = (ref.kind === 'chunk' ? data : data['t']) as { p: StoredPlacement[] } | undefined;
  return (tasks?.p ?? []).map(([index, , host]) => ({ job: ref.id, index, host }));
}

/** Violations: log records written under an expired grant, placements after a cancellation, starts before the commit. */
export function historyViolations(w: World): string[] {
  const violations: string[] = [];
  const cancelled = new Set<string>();
  const grants = new Map<string, number>();
  const placedAt = new Map<string, number>();
  for (const { txn, outcome, at } of w.commits) {
    if (outcome.type !== 'ok') continue;
    for (const write of txn.writes) {
      const ref = parseKey(write.key);
      if (ref?.kind === 'shard') grants.set(String(ref.shard), outcome.revision);
      const log = /^dp\/log\/(\d+)\/(\d+)-/.exec(write.key);
      if (log && write.data && grants.get(log[1]) !== Number(log[2]))
        violations.push(`${write.key}: written under an expired grant`);
      for (const { job, index, host } of placementsOf(write)) {
        const placement = `${taskKey(job, index)} ${host}`;
        if (log && cancelled.has(job))
          violations.push(`${placement}: placed after the cancellation of its job`);
        if (!placedAt.has(placement)) placedAt.set(placement, at);
      }
    }
    // A cancellation and a placement in the same transaction are both the owner's: it does not start the task.
    for (const { key, data } of txn.writes) {
      const ref = parseKey(key);
      if (ref?.kind === 'job' && data?.['s'] === 'cancelled') cancelled.add(ref.id);
    }
  }
  for (const { piece, host, at } of w.starts)
    if (!((placedAt.get(`${piece} ${host}`) ?? Infinity) <= at))
      violations.push(`${piece} ${host}: started before its placement was committed`);
  return violations;
}
