import { Ad, literal, type Value } from '../classad/index.js';
import type { MachineAttributes } from '../policy/matching.js';
import type { Joining } from '../wire/agent-side.js';

const valueOf = (v: string | number | boolean): Value =>
  typeof v === 'number' && Number.isInteger(v) ? BigInt(v) : v;

/** A machine as jobs' expressions see it. */
export const machineAd = (attributes: MachineAttributes): Ad =>
  new Ad(Object.entries(attributes).map(([name, v]) => ({ name, expr: literal(valueOf(v)) })));

/** What is said of an agent's machine: its own attributes, and above them what is known anyway. */
export const attributesOf = (m: Omit<Joining, 'id'> & { host: string }): MachineAttributes => ({
  ...m.attrs,
  Name: m.name,
  Machine: m.host,
  MachineType: m.type,
  Zone: m.zone,
  Cpus: m.cpus,
  TotalCpus: m.cpus,
  GPUs: m.gpus,
  TotalGPUs: m.gpus,
  Memory: Math.floor(m.memGb * 1024),
  TotalMemory: Math.floor(m.memGb * 1024),
});
