/** The operators' settings: their defaults and their parser. */
import { readFileSync } from 'node:fs';
import { readForms } from './forms.js';
import { SettingsError } from './settings.js';

/**
 * The defaults of the operators' settings. A settings file overrides them with an S-expression:
 *
 *     (dapplepick (hazard-weight 10) (round-s 10))
 *
 * `docs/settings.md` describes them in full. Times that depend on the deployment are ratios to values of the platform's
 * settings.
 */
export const operatorDefaults = {
  /** Price of an interruption, per CPU-hour and unit of hazard (A in the HELIOS paper). */
  'hazard-weight': 10,
  /** Weight of the distance of a premium job's machine from the cheapest on-demand price. */
  'anchor-weight': 0.5,
  /** Share of each machine's CPUs that placement keeps free. */
  headroom: 0,
  /** Length of a placement round, s. */
  'round-s': 1,
  /** Length of the hazard step, the time that hazard is expressed per, s (in the paper, the 5-minute round). */
  'hazard-step-s': 10,
  /** Hazard assumed before any machine was observed, per machine-hour. */
  'hazard-prior': 0.5,
  /** Share of the running tasks that may be migrated within one move window. */
  'move-share': 0.05,
  /** Shortest time between two rounds of migrations, s. */
  'move-window-s': 10,
  /** How long a task must have run on its machine before it may be migrated, s. */
  'residency-s': 60,
  /** Maximum age of the replica at which workers are answered from it without a confirmation, s. */
  'grant-s': 30,
  /** Duration of a controller's lease in the state service, as a share of the workers' lease. */
  'node-lease-ratio': 0.2,
  /** Within this many worker leases after acquiring a shard, all of its machines should be proven. */
  'recovery-leases': 0.75,
  /** How long an idle machine is kept, as a multiple of the time to replace it: its boot and the fetch of its largest image. */
  'idle-boots': 0.6,
  /** Number of shards; 0: one per controller. */
  shards: 1,
  /** The highest feature level that this controller supports (see `docs/upgrades.md`); 0: all that the program knows. */
  'level-most': 0,
  /** 1: jobs are admitted fairly by team and class, and writes are divided among all controllers (see `docs/admission.md`). */
  'fair-admission': 0,
  /** Minimum share of each waiting team and class over a window, as a part of an equal share (see `docs/admission.md`); 0: none. */
  'floor-share': 0,
  /** Length of the window of `floor-share`, in worker leases. */
  'floor-leases': 2,
  /** 1: the placements and ends of many jobs share one write, once all controllers can read that (see `docs/CAPACITY.md`). */
  'task-log': 0,
  /** How long a task's placement stays in the task log before it is checkpointed, in worker leases. */
  'task-log-leases': 8,
  /** Share of the state service's writes that may be spent on rewriting records after a change of the feature level. */
  'sweep-share': 0.1,
};

/** The values of all operators' settings, by name. */
export type OperatorSettings = Record<keyof typeof operatorDefaults, number>;

/** Parses settings; those that the text does not name keep their defaults. Throws a `SettingsError`. */
export function parseOperatorSettings(text: string, origin = 'operators'): OperatorSettings {
  const settings: OperatorSettings = { ...operatorDefaults };
  for (const { name, line, values } of readForms(text, origin, 'dapplepick')) {
    const [value] = values;
    if (values.length !== 1) throw new SettingsError(`${origin}: line ${line}: expected (NAME VALUE)`);
    if (!Object.hasOwn(operatorDefaults, name))
      throw new SettingsError(`${origin}: line ${line}: ${name}: unknown setting`);
    const number = typeof value === 'string' ? Number(value) : NaN;
    if (!Number.isFinite(number) || number < 0)
      throw new SettingsError(`${origin}: line ${line}: ${name}: must be a number of at least 0`);
    settings[name as keyof OperatorSettings] = number;
  }
  for (const key of [
    'round-s',
    'hazard-step-s',
    'move-window-s',
    'grant-s',
    'node-lease-ratio',
    'floor-leases',
    'task-log-leases',
  ] as const)
    if (settings[key] <= 0) throw new SettingsError(`${origin}: ${key}: must be above 0`);
  if (settings.headroom >= 1) throw new SettingsError(`${origin}: headroom: must be below 1`);
  if (!Number.isInteger(settings['level-most']))
    throw new SettingsError(`${origin}: level-most: must be a whole number`);
  if (settings['floor-share'] > 1) throw new SettingsError(`${origin}: floor-share: must be at most 1`);
  if (settings['sweep-share'] > 1) throw new SettingsError(`${origin}: sweep-share: must be at most 1`);
  if (!Number.isInteger(settings.shards))
    throw new SettingsError(`${origin}: shards: must be a whole number`);
  return settings;
}

/** Reads and parses a file of operators' settings. Throws a `SettingsError`. */
export function loadOperatorSettings(path: string): OperatorSettings {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (e) {
    throw new SettingsError(`${path}: cannot be read: ${(e as NodeJS.ErrnoException).code ?? String(e)}`);
  }
  return parseOperatorSettings(text, path);
}
