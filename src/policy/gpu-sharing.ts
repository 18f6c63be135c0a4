/** Guardrails for GPU machines: which jobs that need no GPUs may use their CPUs and memory. */
import { isPremium, urgencyRank, type JobSpec } from '../model/job.js';
import type { Resources, MachineType } from '../model/machine.js';
import { typeAllowed } from './admission.js';
import type { QueuedJob } from './order.js';

/** The longest estimated run time of array tasks without GPUs on a GPU machine, as a multiple of its boot time. */
const maxColocatedBoots = 2;

/**
 * Whether the rules for GPU machines allow a job on a machine. Jobs without GPUs are placed on a GPU machine only while GPU
 * tasks run there, and arrays only if their tasks are short. On their own they would keep the most expensive machines rented
 * for what cheaper ones can run, and long tasks would do so after the GPU tasks have ended.
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
  // Jobs that fit no other type are allowed: otherwise they would be accepted and never run.
  !fitsCpuOnlyType(spec, types);

/** Whether a job's tasks fit any allowed machine type without GPUs that is offered in the job's zone. */
export const fitsCpuOnlyType = (spec: JobSpec, types: readonly MachineType[]): boolean =>
  types.some(
    (t) => t.gpus <= 0 && typeAllowed(spec, t) && (spec.zone === null || t.zones.includes(spec.zone)),
  );

/** The CPUs and memory reserved with each free GPU for waiting GPU jobs. */
export interface GpuReserve {
  readonly cpus: number;
  readonly memGb: number;
  /** The urgency rank of the most urgent waiting GPU job. */
  readonly urgency: number;
}

/** The reserve per GPU: the most CPUs and memory per GPU that any waiting GPU task requests; null if none wait. */
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
 * The part of a machine's free resources that a job may use: while GPU jobs wait, other jobs leave the reserve for the free
 * GPUs unused. Otherwise small CPU tasks would fill the GPU machines while their GPUs are idle. Premium jobs that are more
 * urgent than all waiting GPU jobs are exempt if `mayUseReserve` is set.
 */
export function capacityWithoutGpuReserve(
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
