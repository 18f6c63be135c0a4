/** Rules for machines with GPUs: who may use their CPUs. */
import { isPremium, urgencyRank, type JobSpec } from '../model/job.js';
import type { Resources, MachineType } from '../model/machine.js';
import { typeAllowed } from './admission.js';
import type { QueuedJob } from './order.js';

/** Work without GPUs that runs longer than so many boots of a GPU machine does not go there. */
const maxColocatedBoots = 2;

/**
 * A guardrail of ours: work without GPUs goes to a GPU machine only as company for GPU tasks, and arrays only if their tasks
 * are short. Alone it would keep the dearest machines rented for work that cheaper ones can do; long tasks would do so after
 * the GPU work is over.
 */
export const mayShareGpuMachine = (
  spec: JobSpec,
  type: MachineType,
  gpusInUse: number,
  types: readonly MachineType[],
): boolean =>
  spec.gpus > 0 ||
  type.gpus <= 0 ||
  (gpusInUse > 0 && (spec.shape !== 'array' || spec.estimateS <= maxColocatedBoots * type.bootS)) ||
  // Guards against work that nothing else fits: it would be accepted, and never run.
  !fitsCpuOnlyType(spec, types);

/** Whether work without GPUs fits a type of machine that has none. */
export const fitsCpuOnlyType = (spec: JobSpec, types: readonly MachineType[]): boolean =>
  types.some(
    (t) => t.gpus <= 0 && typeAllowed(spec, t) && (spec.zone === null || t.zones.includes(spec.zone)),
  );

/** What waiting GPU work needs beside each GPU. */
export interface GpuReserve {
  cpus: number;
  memGb: number;
  gpus: number;
  urgency: number;
}

/** The largest share per GPU that any waiting GPU task takes; null: none waits. */
export function gpuReserveFor(waiting: QueuedJob[]): GpuReserve | null {
  let reserve: GpuReserve | null = null;
  for (const { spec } of waiting) {
    if (spec.gpus <= 0) continue;
    reserve ??= { cpus: 0, memGb: 0, gpus: 1, urgency: 0 };
    reserve.cpus = Math.max(reserve.cpus, spec.cpus / spec.gpus);
    reserve.memGb = Math.max(reserve.memGb, spec.memGb / spec.gpus);
    reserve.urgency = Math.max(reserve.urgency, urgencyRank[spec.urgency]);
  }
  return reserve;
}

/**
 * A guardrail of ours: while GPU work waits, other work leaves it what it needs beside the free GPUs.
 * Otherwise small CPU tasks fill the GPU machines and the GPUs stand idle. Premium work of higher urgency
 * is exempt if it can go nowhere else.
 */
export function roomOutsideGpuReserve(
  spec: JobSpec,
  free: Resources,
  reserve: GpuReserve | null,
  mayUseReserve: boolean,
): Resources {
  if (reserve === null || spec.gpus > 0 || free.gpus <= 0) return free;
  if (mayUseReserve && isPremium(spec) && urgencyRank[spec.urgency] > reserve.urgency) return free;
  return {
    cpus: free.cpus - free.gpus * reserve.cpus,
    gpus: free.gpus,
    memGb: free.memGb - free.gpus * reserve.memGb,
  };
}
