/** The settings of a control service: parses and validates the settings file, and derives the core's settings from it. */
import { FormReader, readForms, type Form } from '../config/forms.js';
import { SettingsError, type Settings, type TeamLimits } from '../config/settings.js';
import type { SimulatedTask } from '../wire/agent.js';

/** What tasks of a class simulate if their job has no command. If `sleepS` is null, the job's estimate is used. */
export type ClassSimulation = Omit<SimulatedTask, 'sleepS'> & { sleepS: number | null };

/** The settings of a control service. Durations are in seconds. */
export interface ControlSettings {
  /** The member name by which agents and other control services identify this one. */
  name: string;
  listen: { host: string; port: number };
  /** The directory of the embedded store; null if the store is remote, at `store`. */
  directory: string | null;
  /** The address of the remote store, HOST:PORT; null if the store is embedded, in `directory`. */
  store: string | null;
  zones: string[];
  teams: TeamLimits[];
  /** What tasks without a command simulate, by job class. */
  classes: Map<string, ClassSimulation>;
  /** The interval between an agent's heartbeats. */
  reportS: number;
  /** The duration of an agent's lease: an agent that gets no response for this long kills its tasks. */
  leaseS: number;
  /** How long the tasks of a gang wait for each other. */
  gangWaitS: number;
  /** A machine that has sent no heartbeat for this long is listed as missing. */
  missingS: number;
  /** How long tasks on a drained machine may keep running. */
  drainS: number;
  /** Whether jobs may use match expressions. */
  matching: boolean;
}

const defaultSettings = (): ControlSettings => ({
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
 * Parses a control service's settings file:
 *
 *     (control (listen "127.0.0.1:8080") (directory "var/control")
 *       (zones here) (lease-s 600)
 *       (team results-desk (cpus 8) (cpus-max 16))
 *       (class split-calc (sleep-s 2) (fail 0.01)))
 */
export function parseControlSettings(text: string, origin = 'control'): ControlSettings {
  const settings = defaultSettings();
  const reader: FormReader = new FormReader(origin);
  const numberSetters: Record<string, (n: number) => void> = {
    'report-s': (n) => (settings.reportS = n),
    'lease-s': (n) => (settings.leaseS = n),
    'gang-wait-s': (n) => (settings.gangWaitS = n),
    'missing-s': (n) => (settings.missingS = n),
    'drain-s': (n) => (settings.drainS = n),
  };
  for (const form of readForms(text, origin, 'control'))
    if (Object.hasOwn(numberSetters, form.name)) numberSetters[form.name](reader.number(form, 0.05));
    else if (form.name === 'name') settings.name = reader.text(form);
    else if (form.name === 'matching') settings.matching = reader.text(form) === 'true';
    else if (form.name === 'listen') settings.listen = reader.address(form);
    else if (form.name === 'directory') settings.directory = reader.text(form);
    else if (form.name === 'store') {
      const { host, port } = reader.address(form);
      settings.store = `${host}:${port}`;
    } else if (form.name === 'zones') settings.zones = reader.texts(form);
    else if (form.name === 'team') settings.teams.push(parseTeam(form, reader));
    else if (form.name === 'class') {
      const [name] = form.values;
      if (typeof name !== 'string') reader.fail(form, 'must start with a name');
      settings.classes.set(name, parseSimulation(form, reader));
    } else reader.fail(form, 'unknown setting');
  return validate(settings, origin);
}

function validate(settings: ControlSettings, origin: string): ControlSettings {
  if (settings.directory === null && settings.store === null)
    throw new SettingsError(`${origin}: directory: missing (or store, the address of a store)`);
  if (settings.directory !== null && settings.store !== null)
    throw new SettingsError(`${origin}: store: cannot be combined with directory`);
  if (settings.leaseS < 2 * settings.reportS)
    throw new SettingsError(`${origin}: lease-s: must be at least twice report-s`);
  if (settings.teams.length === 0)
    settings.teams.push({ name: 'default', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 });
  return settings;
}

/** Returns the forms nested in a form, without its plain values such as its name. */
const nestedForms = (form: Form): Form[] => form.values.filter((v): v is Form => typeof v !== 'string');

function parseTeam(form: Form, reader: FormReader): TeamLimits {
  const [name] = form.values;
  if (typeof name !== 'string') reader.fail(form, 'must start with a name');
  const limits: TeamLimits = { name, cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 };
  const fields: Record<string, 'cpus' | 'cpus_max' | 'gpus' | 'gpus_max'> = {
    cpus: 'cpus',
    'cpus-max': 'cpus_max',
    gpus: 'gpus',
    'gpus-max': 'gpus_max',
  };
  for (const setting of nestedForms(form)) {
    if (!Object.hasOwn(fields, setting.name)) reader.fail(setting, 'unknown team setting');
    limits[fields[setting.name]] = reader.number(setting);
  }
  return limits;
}

function parseSimulation(form: Form, reader: FormReader): ClassSimulation {
  const simulation: ClassSimulation = { sleepS: null, fail: 0, hang: false, memMb: 0 };
  for (const setting of nestedForms(form))
    if (setting.name === 'sleep-s') simulation.sleepS = reader.number(setting);
    else if (setting.name === 'mem-mb') simulation.memMb = reader.number(setting);
    else if (setting.name === 'fail') {
      simulation.fail = reader.number(setting);
      if (simulation.fail > 1) reader.fail(setting, 'must be a share, 0 to 1');
    } else if (setting.name === 'hang') simulation.hang = reader.text(setting) === 'true';
    else reader.fail(setting, 'unknown class setting');
  return simulation;
}

/** The time limit of a cancellation in leases, to which a constant is added. */
const cancelLeaseRatio = 1.5;
/** The duration of the control service's own state lease; short, because its store is embedded or nearby. */
const controllerLeaseS = 4;

/** Builds the core's settings, and the ratio of the controller's state lease to the agents' lease. */
export function deriveCoreSettings(control: ControlSettings): { settings: Settings; nodeLeaseRatio: number } {
  const settings: Settings = {
    member: control.name,
    zone: control.zones[0],
    publicAddr: `${control.listen.host}:${control.listen.port}`,
    peerAddr: `${control.listen.host}:0`,
    peers: [],
    endpoints: { cloud: '127.0.0.1:1', state: control.store ?? '127.0.0.1:1' },
    zones: control.zones,
    timeBoundMs: 0,
    teams: control.teams,
    objectives: [],
    workers: {
      report_s: control.reportS,
      lease_s: control.leaseS,
      gang_wait_s: control.gangWaitS,
      gang_peer_s: control.reportS * 2,
      cancel_s: control.leaseS * cancelLeaseRatio + 20,
    },
    // Nominal rates: the control service has its own store, so the core does not have to limit its request rate.
    state: { rps: 5000, write_rps: 20_000, value_kb: 32, txn_ops: 128 },
    cloud: { rps: 20, list_lag_s: Math.max(1, control.reportS) },
    quota: { cores: 1, mem_mb: 1024, fd_limit: 8192 },
    pool: true,
  };
  return { settings, nodeLeaseRatio: Math.min(0.2, controllerLeaseS / control.leaseS) };
}
