/** Headroom: what is left on machines that are there or expected, by shard and offer. */
import type { JobSpec } from '../../model/job.js';
import { fitCount, type MachineType, type Resources } from '../../model/machine.js';
import { fitsCpuOnlyType, mayShareGpuMachine } from '../../policy/gpu-sharing.js';
import { offerKey, type MachineOffer } from './offers.js';

/** What is left on a machine. */
export interface Headroom extends Resources {
  readonly type: MachineType;
  /** Occupied now, and free when the running tasks complete. */
  readonly busy: Resources;
  /** Estimated run time of the tasks on it, on average. */
  meanRunS: number;
  taskCount: number;
}

/** The machines of one offer in a shard: a job is eligible for all of them or for none. */
export interface MachinePool extends MachineOffer {
  readonly machines: Headroom[];
  /**
   * The smallest need that found no headroom here, by whether it may use empty GPU machines. An equal or larger need is not
   * looked up.
   */
  readonly smallestUnfit: Map<boolean, Resources>;
}

/** The pools of one shard by offer, in the order in which they were first used. */
export type MachinePools = Map<string, MachinePool>;

/** The pool of an offer; made when first used. */
export function poolOf(pools: MachinePools, { type, zone, spot }: MachineOffer): MachinePool {
  const key = offerKey(type.name, zone, spot);
  let pool = pools.get(key);
  if (!pool) pools.set(key, (pool = { type, zone, spot, machines: [], smallestUnfit: new Map() }));
  return pool;
}

/** An empty machine; `reservedShare` of its CPUs is left free. */
export const emptyHeadroom = (type: MachineType, reservedFraction: number): Headroom => ({
  busy: { cpus: 0, gpus: 0, memGb: 0 },
  meanRunS: 0,
  taskCount: 0,
  type,
  cpus: type.cpus * (1 - reservedFraction),
  gpus: type.gpus,
  memGb: type.memGb,
});

/** Subtracts `count` times `need`. */
export function subtract(resources: Resources, need: Resources, count: number): void {
  resources.cpus -= count * need.cpus;
  resources.gpus -= count * need.gpus;
  resources.memGb -= count * need.memGb;
}

/** Whether empty GPU machines are open to a job. */
const mayUseGpuMachines = (spec: JobSpec, types: readonly MachineType[]): boolean =>
  spec.gpus > 0 || !fitsCpuOnlyType(spec, types);

/** Whether an equal or smaller need found no headroom in the pool. */
function isExhausted(pool: MachinePool, spec: JobSpec, types: readonly MachineType[]): boolean {
  const unfit = pool.smallestUnfit.get(mayUseGpuMachines(spec, types));
  return (
    unfit !== undefined && unfit.cpus <= spec.cpus && unfit.gpus <= spec.gpus && unfit.memGb <= spec.memGb
  );
}

/** Takes headroom for up to `maxTasks` tasks. Returns for how many it was found. */
export function allocateHeadroom(
  pool: MachinePool,
  spec: JobSpec,
  maxTasks: number,
  types: readonly MachineType[],
): number {
  let allocated = 0;
  if (maxTasks <= 0 || isExhausted(pool, spec, types)) return 0;
  for (const machine of pool.machines) {
    if (allocated >= maxTasks) return allocated;
    if (!mayShareGpuMachine(spec, machine.type, machine.type.gpus - machine.gpus, types)) continue;
    const count = Math.min(maxTasks - allocated, fitCount(spec, machine));
    if (count <= 0) continue;
    subtract(machine, spec, count);
    allocated += count;
  }
  if (allocated < maxTasks)
    pool.smallestUnfit.set(mayUseGpuMachines(spec, types), {
      cpus: spec.cpus,
      gpus: spec.gpus,
      memGb: spec.memGb,
    });
  return allocated;
}

/** For how many tasks of a job there is headroom, counted up to `maxTasks`. */
export function countHeadroom(
  pool: MachinePool,
  spec: JobSpec,
  maxTasks: number,
  types: readonly MachineType[],
): number {
  let count = 0;
  if (maxTasks <= 0 || isExhausted(pool, spec, types)) return 0;
  for (const machine of pool.machines) {
    count += fitCount(spec, machine);
    if (count >= maxTasks) return maxTasks;
  }
  return count;
}
