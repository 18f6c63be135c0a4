/** The settings file of a controller, as the platform writes it. */
import { stringify } from 'smol-toml';
import { cpusPerWorker, type ScaleOptions } from './options.js';
import type { WorkerLimits } from './messages.js';

/** The zones of a cell. */
export const zones = ['north', 'east', 'south'];
/** The limits of the workers' protocol in a run. */
export const workerLimits: WorkerLimits = { reportS: 2.5, leaseS: 18, cancelS: 38 };
/** The limits of the cloud in a run. */
export const cloudLimits = { rps: 8, list_lag_s: 5 };
/** The sizes that the state service takes. */
export const stateSizes = { value_kb: 32, txn_ops: 24 };
/** Usual work is to start soon, so machines are rented for it instead of waiting until running tasks end. */
const objectives = [
  { kind: 'wait', class: 'urgent', within_s: 3.5, share: 0.99 },
  { kind: 'wait', class: 'batch', within_s: 15, share: 0.9 },
];
const gangTimeouts = { gang_wait_s: 30, gang_peer_s: 5 };
const fileDescriptorLimit = 20_000;
const timeBoundMs = 100;

/** Teams of a region: the operators have 140 in 8. */
const teamCount = 18;
/** What a team may borrow, as a multiple of an equal part; the first has little more than its part, so that it meets its limit. */
const usualLimitFactor = 3;
const tightLimitFactor = 1.1;
const guaranteeShare = 0.8;

/** A team of the controllers' settings file. */
export interface Team {
  name: string;
  cpus: number;
  cpus_max: number;
  gpus: number;
  gpus_max: number;
}

/** The teams of a run; their limits leave room for its load. */
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

/** A controller and its addresses. */
export interface Member {
  name: string;
  publicAddress: string;
  peerAddress: string;
}

/** The addresses of state service and cloud. */
export interface Endpoints {
  state: string;
  cloud: string;
}

/** smol-toml writes whole numbers as integers; the platform writes amounts with a decimal point, which reads as the same. */
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
