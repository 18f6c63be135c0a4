/** Rules for machines with GPUs: who may use their CPUs. */
import { isPremium, urgencyRank, type JobSpec } from '../model/job.js';
import type { Fits, MachineType } from '../model/machine.js';
import { typeAllowed } from './admission.js';
import type { Queued } from './order.js';

/** Work without GPUs that runs longer than so many boots of a GPU machine does not go there. */
const companyBoots = 2;

/**
 * A guardrail of ours: work without GPUs goes to a GPU machine only as company for GPU tasks, and arrays only if their tasks
 * are short. Alone it would keep the dearest machines rented for work that cheaper ones can do; long tasks would do so after
 * the GPU work is over.
 */
export const gpuMachineOpen = (
  spec: JobSpec,
  type: MachineType,
  gpusBusy: number,
  types: readonly MachineType[],
): boolean =>
  spec.gpus > 0 ||
  type.gpus <= 0 ||
  (gpusBusy > 0 && (spec.shape !== 'array' || spec.estimateS <= companyBoots * type.bootS)) ||
  // Guards against work that nothing else fits: it would be accepted, and never run.
  !hasPlainType(spec, types);

/** Whether work without GPUs fits a type of machine that has none. */
export const hasPlainType = (spec: JobSpec, types: readonly MachineType[]): boolean =>
  types.some(
    (t) => t.gpus <= 0 && typeAllowed(spec, t) && (spec.zone === null || t.zones.includes(spec.zone)),
  );

/** What waiting GPU work needs beside each GPU. */
export interface GpuShare {
  cpus: number;
  memGb: number;
  gpus: number;
  urgency: number;
}

/** The largest share per GPU that any waiting GPU task takes; null: none waits. */
export function gpuShare(waiting: Queued[]): GpuShare | null {
  let share: GpuShare | null = null;
  for (const { spec } of waiting) {
    if (spec.gpus <= 0) continue;
    share ??= { cpus: 0, memGb: 0, gpus: 1, urgency: 0 };
    share.cpus = Math.max(share.cpus, spec.cpus / spec.gpus);
    share.memGb = Math.max(share.memGb, spec.memGb / spec.gpus);
    share.urgency = Math.max(share.urgency, urgencyRank[spec.urgency]);
  }
  return share;
}

/**
 * A guardrail of ours: while GPU work waits, other work leaves it what it needs beside the free GPUs.
 * Otherwise small CPU tasks fill the GPU machines and the GPUs stand idle. Premium work of higher urgency
 * is exempt if it can go nowhere else.
 */
export function keptRoom(spec: JobSpec, room: Fits, keep: GpuShare | null, crowd: boolean): Fits {
  if (keep === null || spec.gpus > 0 || room.gpus <= 0) return room;
  if (crowd && isPremium(spec) && urgencyRank[spec.urgency] > keep.urgency) return room;
  return {
    cpus: room.cpus - room.gpus * keep.cpus,
    gpus: room.gpus,
    memGb: room.memGb - room.gpus * keep.memGb,
  };
}
