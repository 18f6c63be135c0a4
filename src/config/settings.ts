/** The platform's settings: validates the platform's TOML file and maps it to the program's terms. */
import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import * as v from 'valibot';

/** A mistake in the settings that the operator can correct. The message is one line that names the field. */
export class SettingsError extends Error {}

const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));
const count = v.pipe(v.number(), v.integer(), v.minValue(1));
const name = v.pipe(v.string(), v.nonEmpty());
const address = v.pipe(v.string(), v.regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, 'must be IPv4:port'));

const teamSchema = v.object({
  name,
  cpus: v.optional(amount, 0),
  cpus_max: v.optional(amount, 0),
  gpus: v.optional(amount, 0),
  gpus_max: v.optional(amount, 0),
});

const objectiveSchema = v.object({
  kind: v.string(),
  class: v.optional(v.string(), ''),
  within_s: v.optional(amount),
  share: v.optional(amount),
  times: v.optional(amount, 1),
});

/** The platform's file. `location` is a zone, `back` this controller's address for peers, `others` the other controllers. */
const settingsFileSchema = v.object({
  member: name,
  location: name,
  public_addr: address,
  back: address,
  others: v.optional(v.array(v.object({ member: name, location: name, peer_addr: address })), []),
  endpoints: v.object({ cloud: address, state: address }),
  deployment: v.object({
    nodes: v.optional(count),
    zones: v.array(name),
    time_bound_ms: v.optional(amount, 0),
    teams: v.array(teamSchema),
    objectives: v.optional(v.array(objectiveSchema), []),
    workers: v.object({
      report_s: positive,
      lease_s: positive,
      gang_wait_s: positive,
      gang_peer_s: positive,
      cancel_s: positive,
    }),
    state: v.object({ rps: positive, write_rps: positive, value_kb: positive, txn_ops: count }),
    cloud: v.object({ rps: positive, list_lag_s: amount }),
    quota: v.optional(
      v.object({
        cores: v.optional(positive, 1),
        mem_mb: v.optional(positive, 512),
        fd_limit: v.optional(count, 1024),
      }),
      {},
    ),
  }),
});

type SettingsFile = v.InferOutput<typeof settingsFileSchema>;
/** A team's guaranteed resources and its quota (`cpus_max`, `gpus_max`); 0: none. */
export type TeamLimits = v.InferOutput<typeof teamSchema>;
/** A service-level objective for a class of jobs. */
export type Objective = v.InferOutput<typeof objectiveSchema>;

/**
 * The platform's settings. The groups `teams`, `objectives`, `workers`, `state`, `cloud` and `quota` keep the field names of
 * the file.
 */
export interface Settings {
  member: string;
  zone: string;
  publicAddr: string;
  peerAddr: string;
  peers: { member: string; zone: string; addr: string }[];
  endpoints: { cloud: string; state: string };
  zones: string[];
  timeBoundMs: number;
  teams: TeamLimits[];
  objectives: Objective[];
  workers: SettingsFile['deployment']['workers'];
  state: SettingsFile['deployment']['state'];
  cloud: SettingsFile['deployment']['cloud'];
  quota: { cores: number; mem_mb: number; fd_limit: number };
  /**
   * Whether machines join and leave by themselves. If so, none is rented, and none is returned unless it has left or was
   * declared gone.
   */
  pool?: boolean;
}

/** Parses and validates the text of a settings file. Throws a `SettingsError` that names the field. */
export function parseSettings(text: string, origin = 'settings'): Settings {
  let raw: unknown;
  try {
    raw = parse(text);
  } catch (e) {
    throw new SettingsError(`${origin}: not valid TOML: ${String((e as Error).message).split('\n')[0]}`);
  }
  const result = v.safeParse(settingsFileSchema, raw);
  if (!result.success) {
    const issue = result.issues[0];
    throw new SettingsError(`${origin}: ${v.getDotPath(issue) ?? '(top level)'}: ${issue.message}`);
  }
  const file = result.output;
  const deployment = file.deployment;
  if (deployment.workers.cancel_s <= deployment.workers.lease_s)
    throw new SettingsError(`${origin}: deployment.workers.cancel_s: must be longer than lease_s`);
  return {
    member: file.member,
    zone: file.location,
    publicAddr: file.public_addr,
    peerAddr: file.back,
    peers: file.others.map((peer) => ({ member: peer.member, zone: peer.location, addr: peer.peer_addr })),
    endpoints: file.endpoints,
    zones: deployment.zones,
    timeBoundMs: deployment.time_bound_ms,
    teams: deployment.teams,
    objectives: deployment.objectives,
    workers: deployment.workers,
    state: deployment.state,
    cloud: deployment.cloud,
    quota: deployment.quota,
  };
}

/** Reads, parses and validates a settings file. Throws a `SettingsError`. */
export function loadSettings(path: string): Settings {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (e) {
    throw new SettingsError(`${path}: cannot be read: ${(e as NodeJS.ErrnoException).code ?? String(e)}`);
  }
  return parseSettings(text, path);
}

/** Splits an address `HOST:PORT` into host and port. */
export function splitAddress(addr: string): { host: string; port: number } {
  const separator = addr.lastIndexOf(':');
  return { host: addr.slice(0, separator), port: Number(addr.slice(separator + 1)) };
}
