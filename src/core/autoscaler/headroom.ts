/** Headroom: the free resources of existing and expected machines, grouped by shard and offer. */
import type { JobSpec } from '../../model/job.js';
import { fitCount, type MachineType, type Resources } from '../../model/machine.js';
import { fitsCpuOnlyType, mayShareGpuMachine } from '../../policy/gpu-sharing.js';
import { offerKey, type MachineOffer } from './offers.js';

/** The free resources of one machine. */
export interface Headroom extends Resources {
  readonly type: MachineType;
  /** When the machine was rented, on the wall clock, ms; Infinity: it is requested, or not recorded yet. */
  readonly rentedAt: number;
  /** Resources of the running tasks that are expected to end, which become free then. */
  readonly busy: Resources;
  /** Resources of the other tasks, such as those of services. */
  readonly endless: Resources;
  /** Mean estimated run time of the tasks that are expected to end, s. */
  meanRunS: number;
  /** The number of those tasks. */
  endingTaskCount: number;
  /** The number of all tasks on the machine. */
  taskCount: number;
}

/** The machines of one offer in a shard. A job is eligible for either all of them or none. */
export interface MachinePool extends MachineOffer {
  readonly machines: Headroom[];
  /**
   * The latest request that did not fit completely, keyed by whether the job may use empty GPU machines. Requests that are
   * equal or larger in every resource are rejected without a search.
   */
  readonly latestUnfit: Map<boolean, Resources>;
}

/** The pools of one shard by offer key, in the order in which they were first used. */
export type MachinePools = Map<string, MachinePool>;

/** Returns the pool of an offer, creating it on first use. */
export function poolOf(pools: MachinePools, { type, zone, spot }: MachineOffer): MachinePool {
  const key = offerKey(type.name, zone, spot);
  let pool = pools.get(key);
  if (!pool) pools.set(key, (pool = { type, zone, spot, machines: [], latestUnfit: new Map() }));
  return pool;
}

/** The headroom of a machine without tasks. The fraction `reservedFraction` of its CPUs is withheld. */
export const emptyHeadroom = (
  type: MachineType,
  reservedFraction: number,
  rentedAt = Infinity,
): Headroom => ({
  rentedAt,
  busy: { cpus: 0, gpus: 0, memGb: 0 },
  endless: { cpus: 0, gpus: 0, memGb: 0 },
  meanRunS: 0,
  endingTaskCount: 0,
  taskCount: 0,
  type,
  cpus: type.cpus * (1 - reservedFraction),
  gpus: type.gpus,
  memGb: type.memGb,
});

/** Subtracts `count` times `need` from `resources`, in place. */
export function subtract(resources: Resources, need: Resources, count: number): void {
  resources.cpus -= count * need.cpus;
  resources.gpus -= count * need.gpus;
  resources.memGb -= count * need.memGb;
}

/** Counts a task on a machine. `runS`: its estimated run time, s; Infinity if it is not expected to end. */
export function addTask(machine: Headroom, need: Resources, runS: number): void {
  subtract(machine, need, 1);
  machine.taskCount++;
  if (runS === Infinity) return subtract(machine.endless, need, -1);
  subtract(machine.busy, need, -1);
  machine.meanRunS = (machine.meanRunS * machine.endingTaskCount + runS) / (machine.endingTaskCount + 1);
  machine.endingTaskCount++;
}

/** How many tasks of a job a machine could take once all tasks that are expected to end have ended. */
export function drainedFitCount(spec: JobSpec, { type, endless }: Headroom): number {
  const free: Resources = { cpus: type.cpus, gpus: type.gpus, memGb: type.memGb };
  subtract(free, endless, 1);
  return fitCount(spec, free);
}

/** Selects the machines whose headroom a job may use. */
export type MachineFilter = (machine: Headroom) => boolean;

/** Whether a job may use empty GPU machines. */
const mayUseGpuMachines = (spec: JobSpec, types: readonly MachineType[]): boolean =>
  spec.gpus > 0 || !fitsCpuOnlyType(spec, types);

/** Whether a request that is no larger in any resource already failed in this pool. */
function isExhausted(pool: MachinePool, spec: JobSpec, types: readonly MachineType[]): boolean {
  const unfit = pool.latestUnfit.get(mayUseGpuMachines(spec, types));
  return (
    unfit !== undefined && unfit.cpus <= spec.cpus && unfit.gpus <= spec.gpus && unfit.memGb <= spec.memGb
  );
}

/**
 * Allocates headroom for up to `maxTasks` tasks of a job, on all machines of the pool or on those that a filter selects. Returns
 * the number of tasks that fit.
 */
export function allocateHeadroom(
  pool: MachinePool,
  spec: JobSpec,
  maxTasks: number,
  types: readonly MachineType[],
  filter: MachineFilter | null,
): number {
  let allocated = 0;
  if (maxTasks <= 0 || isExhausted(pool, spec, types)) return 0;
  for (const machine of pool.machines) {
    if (allocated >= maxTasks) return allocated;
    if (filter !== null && !filter(machine)) continue;
    if (!mayShareGpuMachine(spec, machine.type, machine.type.gpus - machine.gpus, types)) continue;
    const count = Math.min(maxTasks - allocated, fitCount(spec, machine));
    if (count <= 0) continue;
    subtract(machine, spec, count);
    allocated += count;
  }
  if (allocated < maxTasks && filter === null)
    pool.latestUnfit.set(mayUseGpuMachines(spec, types), {
      cpus: spec.cpus,
      gpus: spec.gpus,
      memGb: spec.memGb,
    });
  return allocated;
}

/** Counts the tasks of a job that fit into the pool, up to `maxTasks`, without allocating. */
export function countHeadroom(
  pool: MachinePool,
  spec: JobSpec,
  maxTasks: number,
  types: readonly MachineType[],
): number {
  let count = 0;
  if (maxTasks <= 0 || isExhausted(pool, spec, types)) return 0;
  for (const machine of pool.machines) {
    if (!mayShareGpuMachine(spec, machine.type, machine.type.gpus - machine.gpus, types)) continue;
    count += fitCount(spec, machine);
    if (count >= maxTasks) return maxTasks;
  }
  return count;
}
