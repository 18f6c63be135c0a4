/** Converts machines to ClassAd records. */
import { ClassAd, literal, type Value } from '../classad/index.js';
import type { MachineAttributes } from '../policy/matching.js';
import type { JoinRequest } from '../wire/agent.js';

const toValue = (v: string | number | boolean): Value =>
  typeof v === 'number' && Number.isInteger(v) ? BigInt(v) : v;

/** Creates the ClassAd record of a machine, which jobs' expressions are matched against. */
export const machineAd = (attributes: MachineAttributes): ClassAd =>
  new ClassAd(Object.entries(attributes).map(([name, v]) => ({ name, expr: literal(toValue(v)) })));

/** Returns the attributes of an agent's machine: those that the agent sets, overridden by those that the control service knows. */
export const machineAttributes = (
  machine: Omit<JoinRequest, 'id'> & { host: string },
): MachineAttributes => ({
  ...machine.attrs,
  Name: machine.name,
  Machine: machine.host,
  MachineType: machine.type,
  Zone: machine.zone,
  Cpus: machine.cpus,
  TotalCpus: machine.cpus,
  GPUs: machine.gpus,
  TotalGPUs: machine.gpus,
  Memory: Math.floor(machine.memGb * 1024),
  TotalMemory: Math.floor(machine.memGb * 1024),
});
