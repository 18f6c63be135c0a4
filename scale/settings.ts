/** Generates a controller's settings file in the form in which the platform writes it. */
import { stringify } from 'smol-toml';
import { cpusPerWorker, type ScaleOptions } from './options.js';
import type { WorkerLimits } from './messages.js';

/** The availability zones of a cell. */
export const zones = ['north', 'east', 'south'];
/** Timings of the worker protocol in a run. */
export const workerLimits: WorkerLimits = { reportS: 2.5, leaseS: 18, cancelS: 38 };
/** Request rate limit and list delay of the simulated cloud. */
export const cloudLimits = { rps: 8, list_lag_s: 5 };
/** Size limits of the state service. */
export const stateSizes = { value_kb: 32, txn_ops: 24 };
/** The short wait objective for batch jobs makes the controllers rent machines for them instead of waiting for running tasks to end. */
const objectives = [
  { kind: 'wait', class: 'urgent', within_s: 3.5, share: 0.99 },
  { kind: 'wait', class: 'batch', within_s: 15, share: 0.9 },
];
const gangTimeouts = { gang_wait_s: 30, gang_peer_s: 5 };
const fileDescriptorLimit = 20_000;
const timeBoundMs = 100;

/** Teams in a cell: the operators have 140 teams in 8 regions, which is about this many in each. */
const teamCount = 18;
/** A team's upper limit as a multiple of an equal share. The first team's limit is little above its share, so that it is reached. */
const usualLimitFactor = 3;
const tightLimitFactor = 1.1;
const guaranteeShare = 0.8;

/** A team entry of the settings file. */
export interface Team {
  name: string;
  cpus: number;
  cpus_max: number;
  gpus: number;
  gpus_max: number;
}

/** The teams of a run. Their limits leave room for the generated load. */
export function teamsOf({ workers }: ScaleOptions): Team[] {
  const equalShare = (workers * cpusPerWorker) / teamCount;
  return Array.from({ length: teamCount }, (_, i) => ({
    name: `team-${i}`,
    cpus: equalShare * guaranteeShare,
    cpus_max: equalShare * (i === 0 ? tightLimitFactor : usualLimitFactor),
    gpus: 0,
    gpus_max: 0,
  }));
}

/** A controller's name and addresses. */
export interface Member {
  name: string;
  publicAddress: string;
  peerAddress: string;
}

/** The addresses of the state service and the cloud. */
export interface Endpoints {
  state: string;
  cloud: string;
}

/**
 * The text of a controller's settings file. smol-toml writes whole numbers as integers, where the platform writes amounts with a
 * decimal point; both are read as the same value.
 */
export function settingsText(
  member: Member,
  members: Member[],
  endpoints: Endpoints,
  options: ScaleOptions,
): string {
  const others = members
    .filter((m) => m !== member)
    .map((m) => ({ member: m.name, location: zoneOf(m, members), peer_addr: m.peerAddress }));
  const { reportS, leaseS, cancelS } = workerLimits;
  return stringify({
    member: member.name,
    location: zoneOf(member, members),
    public_addr: member.publicAddress,
    back: member.peerAddress,
    others,
    endpoints,
    deployment: {
      nodes: members.length,
      zones,
      time_bound_ms: timeBoundMs,
      teams: teamsOf(options),
      objectives,
      workers: { report_s: reportS, lease_s: leaseS, cancel_s: cancelS, ...gangTimeouts },
      state: { rps: options.requestsPerS, write_rps: options.writesPerS, ...stateSizes },
      cloud: cloudLimits,
      quota: { cores: 1, mem_mb: options.memoryMb, fd_limit: fileDescriptorLimit },
    },
  });
}

const zoneOf = (member: Member, members: Member[]): string => zones[members.indexOf(member) % zones.length];
