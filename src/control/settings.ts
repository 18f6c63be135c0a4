import { FormReader, readForms, type Form } from '../config/forms.js';
import { SettingsError, type Settings, type TeamLimits } from '../config/settings.js';
import type { StandIn } from '../wire/agent-side.js';

/** A class of jobs without commands: what their tasks do instead. */
export type ClassStandIn = Omit<StandIn, 'sleepS'> & { sleepS: number | null };

export interface ControlSettings {
  name: string;
  listen: { host: string; port: number };
  /** Where the store is; null: it is reached through `store`. */
  directory: string | null;
  store: string | null;
  zones: string[];
  teams: TeamLimits[];
  classes: Map<string, ClassStandIn>;
  reportS: number;
  leaseS: number;
  gangWaitS: number;
  /** A machine that was not heard for so long is shown as missing, with why its tasks are not given to others yet. */
  missingS: number;
  /** How long tasks on a machine that is drained may go on, s. */
  drainS: number;
  /** Jobs may look at machines' attributes. */
  matching: boolean;
}

const defaults = (): ControlSettings => ({
  name: 'control-0',
  listen: { host: '127.0.0.1', port: 8080 },
  directory: null,
  store: null,
  zones: ['here'],
  teams: [],
  classes: new Map(),
  reportS: 2,
  leaseS: 60,
  gangWaitS: 30,
  missingS: 10,
  drainS: 86_400,
  matching: false,
});

/**
 * A control service's settings:
 *
 *     (control (listen "127.0.0.1:8080") (directory "var/control")
 *       (zones here) (lease-s 600)
 *       (team results-desk (cpus 8) (cpus-max 16))
 *       (class split-calc (sleep-s 2) (fail 0.01)))
 */
export function parseControlSettings(text: string, origin = 'control'): ControlSettings {
  const s = defaults();
  const read: FormReader = new FormReader(origin);
  const numbers: Record<string, (n: number) => void> = {
    'report-s': (n) => (s.reportS = n),
    'lease-s': (n) => (s.leaseS = n),
    'gang-wait-s': (n) => (s.gangWaitS = n),
    'missing-s': (n) => (s.missingS = n),
    'drain-s': (n) => (s.drainS = n),
  };
  for (const f of readForms(text, origin, 'control'))
    if (Object.hasOwn(numbers, f.name)) numbers[f.name](read.number(f, 0.05));
    else if (f.name === 'name') s.name = read.text(f);
    else if (f.name === 'matching') s.matching = read.text(f) === 'true';
    else if (f.name === 'listen') s.listen = read.address(f);
    else if (f.name === 'directory') s.directory = read.text(f);
    else if (f.name === 'store') {
      const { host, port } = read.address(f);
      s.store = `${host}:${port}`;
    } else if (f.name === 'zones') s.zones = read.texts(f);
    else if (f.name === 'team') s.teams.push(team(f, read));
    else if (f.name === 'class') {
      const [name] = f.values;
      if (typeof name !== 'string') read.fail(f, 'must begin with its name');
      s.classes.set(name, standIn(f, read));
    } else read.fail(f, 'unknown setting');
  return check(s, origin);
}

function check(s: ControlSettings, origin: string): ControlSettings {
  if (s.directory === null && s.store === null)
    throw new SettingsError(`${origin}: directory: missing (or store, the address of a store)`);
  if (s.directory !== null && s.store !== null)
    throw new SettingsError(`${origin}: store: not together with directory`);
  if (s.leaseS < 2 * s.reportS)
    throw new SettingsError(`${origin}: lease-s: must be at least twice report-s`);
  if (s.teams.length === 0) s.teams.push({ name: 'default', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 });
  return s;
}

/** The settings inside another, which begins with its name. */
const inside = (f: Form): Form[] => f.values.filter((v): v is Form => typeof v !== 'string');

function team(f: Form, read: FormReader): TeamLimits {
  const [name] = f.values;
  if (typeof name !== 'string') read.fail(f, 'must begin with its name');
  const t: TeamLimits = { name, cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 };
  const fields: Record<string, 'cpus' | 'cpus_max' | 'gpus' | 'gpus_max'> = {
    cpus: 'cpus',
    'cpus-max': 'cpus_max',
    gpus: 'gpus',
    'gpus-max': 'gpus_max',
  };
  for (const x of inside(f)) {
    if (!Object.hasOwn(fields, x.name)) read.fail(x, 'unknown setting of a team');
    t[fields[x.name]] = read.number(x);
  }
  return t;
}

function standIn(f: Form, read: FormReader): ClassStandIn {
  const c: ClassStandIn = { sleepS: null, fail: 0, hang: false, memMb: 0 };
  for (const x of inside(f))
    if (x.name === 'sleep-s') c.sleepS = read.number(x);
    else if (x.name === 'mem-mb') c.memMb = read.number(x);
    else if (x.name === 'fail') {
      c.fail = read.number(x);
      if (c.fail > 1) read.fail(x, 'must be a share, 0 to 1');
    } else if (x.name === 'hang') c.hang = read.text(x) === 'true';
    else read.fail(x, 'unknown setting of a class');
  return c;
}

/** Of a lease, what a cancellation may take beyond it. */
const cancelLeases = 1.5;
/** A control service's own state lease: the store is in its process, or near. */
const nodeLeaseS = 4;

/** The platform's settings for the core, and what operators set for it. */
export function platformOf(s: ControlSettings): { settings: Settings; nodeLeaseRatio: number } {
  const settings: Settings = {
    member: s.name,
    zone: s.zones[0],
    publicAddr: `${s.listen.host}:${s.listen.port}`,
    peerAddr: `${s.listen.host}:0`,
    peers: [],
    endpoints: { cloud: '127.0.0.1:1', state: s.store ?? '127.0.0.1:1' },
    zones: s.zones,
    timeBoundMs: 0,
    teams: s.teams,
    objectives: [],
    workers: {
      report_s: s.reportS,
      lease_s: s.leaseS,
      gang_wait_s: s.gangWaitS,
      gang_peer_s: s.reportS * 2,
      cancel_s: s.leaseS * cancelLeases + 20,
    },
    // Own disk, own store: what it takes shows by itself.
    state: { rps: 5000, write_rps: 20_000, value_kb: 32, txn_ops: 128 },
    cloud: { rps: 20, list_lag_s: Math.max(1, s.reportS) },
    quota: { cores: 1, mem_mb: 1024, fd_limit: 8192 },
    pool: true,
  };
  return { settings, nodeLeaseRatio: Math.min(0.2, nodeLeaseS / s.leaseS) };
}
