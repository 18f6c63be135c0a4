/** Builds the job description that an agent fetches before it runs the job's tasks. */
import type { JobSpec } from '../model/job.js';
import type { AgentJob } from '../wire/agent.js';
import type { ClassSimulation } from './settings.js';

/** Sleep time of a simulated task if neither its class nor the job's estimate sets one, s. */
const defaultSleepS = 1;
const defaultSimulation: ClassSimulation = { sleepS: null, fail: 0, hang: false, memMb: 0 };

/** Builds the description of a job. `classes` maps a job class to what its tasks simulate if they have no command. */
export function describeForAgent(spec: JobSpec, classes: ReadonlyMap<string, ClassSimulation>): AgentJob {
  const simulation = classes.get(spec.class) ?? defaultSimulation;
  return {
    cpus: spec.cpus,
    gpus: spec.gpus,
    memGb: spec.memGb,
    gang: spec.shape === 'gang',
    saveS: spec.saveS,
    checkpointS: spec.checkpointS,
    command: spec.command ?? null,
    standIn: {
      ...simulation,
      hang: simulation.hang || spec.shape === 'service',
      sleepS: simulation.sleepS ?? (spec.estimateS > 0 ? spec.estimateS : defaultSleepS),
    },
  };
}
