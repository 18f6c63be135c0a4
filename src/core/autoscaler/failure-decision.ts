/** Whether a job that has failed and has not completed any task gets machines of its own. */
import type { JobSpec } from '../../model/job.js';
import { maxStoredFailedHosts, suspectHostCount } from '../failure-attribution.js';
import { drainedFitCount, type Headroom, type MachinePool } from './headroom.js';

/** The machines on which a job has failed; those that no longer exist are given by their hosts. */
export type FailedMachines = ReadonlySet<Headroom | string>;

/**
 * `regular`: its demand is calculated like that of other jobs, without the machines on which it has failed. `needs-other-host`: it
 * needs a machine on which it has not failed yet. `wait`: it gets no machines of its own.
 */
export type FailureDecision = 'wait' | 'needs-other-host' | 'regular';

/**
 * Decides on a job with `count` waiting tasks. It needs another host if it has failed on all machines that can ever take it. A
 * job that is suspected of being faulty itself waits for hosts that other jobs need.
 */
export function decideAfterFailures(
  { spec }: { readonly spec: JobSpec },
  count: number,
  failedMachines: FailedMachines,
  eligible: readonly MachinePool[],
): FailureDecision {
  if (failedMachines.size === 0) return 'regular';
  let capacity = 0;
  for (const { machines } of eligible)
    for (const machine of machines)
      if (!failedMachines.has(machine)) capacity += drainedFitCount(spec, machine);
  // Prevents requests for machines, possibly expensive ones with GPUs, for a job that fails on every host.
  if (capacity >= (spec.shape === 'gang' ? count : 1))
    return failedMachines.size >= suspectHostCount ? 'wait' : 'regular';
  return failedMachines.size < maxStoredFailedHosts ? 'needs-other-host' : 'wait';
}
