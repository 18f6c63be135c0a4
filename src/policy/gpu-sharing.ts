/** Guardrails for machines with GPUs: which work without GPUs may use their CPUs. */
import { isPremium, urgencyRank, type JobSpec } from '../model/job.js';
import type { Resources, MachineType } from '../model/machine.js';
import { typeAllowed } from './admission.js';
import type { QueuedJob } from './order.js';

/** Array tasks without GPUs that run longer than this many boots of a GPU machine are not placed on it. */
const maxColocatedBoots = 2;

/**
 * Whether a machine type may run a job, as far as GPUs decide. Work without GPUs is placed on a GPU machine only while GPU
 * tasks run there, and arrays only if their tasks are short. Alone it would keep the most expensive machines rented for work
 * that cheaper ones can do; long tasks would do so after the GPU work is over.
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
  // Guards against work that fits no other type: it would be accepted, and never run.
  !fitsCpuOnlyType(spec, types);

/** Whether a job's task fits a type of machine without GPUs. */
export const fitsCpuOnlyType = (spec: JobSpec, types: readonly MachineType[]): boolean =>
  types.some(
    (t) => t.gpus <= 0 && typeAllowed(spec, t) && (spec.zone === null || t.zones.includes(spec.zone)),
  );

/** What is reserved beside each free GPU for waiting GPU work. */
export interface GpuReserve {
  readonly cpus: number;
  readonly memGb: number;
  /** The rank of the most urgent GPU work that waits. */
  readonly urgency: number;
}

/** The largest share per GPU that any waiting GPU task takes; null: none waits. */
export function gpuReserveFor(waiting: readonly QueuedJob[]): GpuReserve | null {
  const gpuJobs = waiting.filter(({ spec }) => spec.gpus > 0);
  if (gpuJobs.length === 0) return null;
  const reserve = { cpus: 0, memGb: 0, urgency: 0 };
  for (const { spec } of gpuJobs) {
    reserve.cpus = Math.max(reserve.cpus, spec.cpus / spec.gpus);
    reserve.memGb = Math.max(reserve.memGb, spec.memGb / spec.gpus);
    reserve.urgency = Math.max(reserve.urgency, urgencyRank[spec.urgency]);
  }
  return reserve;
}

/**
 * What is left of a machine's free resources for a job: while GPU work waits, other work leaves what that needs beside the
 * free GPUs. Otherwise small CPU tasks fill the GPU machines and the GPUs stand idle. Premium work of higher urgency
 * is exempt if `mayUseReserve`.
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
