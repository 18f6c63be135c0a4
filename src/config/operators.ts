/** The operators' own settings: their defaults, and how they are read. */
import { readFileSync } from 'node:fs';
import { readForms } from './forms.js';
import { SettingsError } from './settings.js';

/**
 * The operators' own settings, written as S-expressions:
 *
 *     (dapplepick (hazard-weight 10) (round-s 10))
 *
 * Every one has a default; `docs/settings.md` tells what they do. Times that depend on the
 * deployment are ratios to figures of the platform's settings.
 */
export const operatorDefaults = {
  /** A of HELIOS: price of one interruption, per CPU-hour and unit of hazard. */
  'hazard-weight': 10,
  /** Weight of the gap between a premium machine's price and the cheapest on-demand price. */
  'anchor-weight': 0.5,
  /** Share of each machine's CPUs kept free in placement. */
  headroom: 0,
  /** Length of a placement round. */
  'round-s': 1,
  /** Hazard is counted per step of this length (the paper's step is its 5-minute round). */
  'hazard-step-s': 10,
  /** Hazard assumed before anything was seen, per machine-hour. */
  'hazard-prior': 0.5,
  /** Share of running tasks that may move in one move window. */
  'move-share': 0.05,
  'move-window-s': 10,
  'residency-s': 60,
  /** How long a grant is good for without being confirmed. */
  'grant-s': 30,
  /** A node's state lease, as a share of the workers' lease. */
  'node-lease-ratio': 0.2,
  /** After taking up a shard, all of its machines should be proven within so many worker leases. */
  'recovery-leases': 0.75,
  /** An idle machine is kept for this many times what it would take to replace: boot and its largest image. */
  'idle-boots': 0.6,
  /** Shards; 0: one per controller. */
  shards: 1,
  /** No level above this is taken part in (see upgrades); 0: all that the program knows. */
  'level-most': 0,
  /** 1: jobs are taken in fairly by team and class, and the writes divided among all controllers (see admission). */
  'fair-admission': 0,
  /** Of an equal part of the room: what each team and class that waits is to have had over a window (see admission); 0: none. */
  'floor-share': 0,
  /** The window, in worker leases. */
  'floor-leases': 2,
  /** 1: placements and ends of many jobs share one write, once all controllers can read that (see CAPACITY). */
  'task-log': 0,
  /** A task's placement stays in the task log for so many worker leases before it is checkpointed. */
  'task-log-leases': 8,
  /** Share of the state service's writes that go into rewriting records after a change of the level. */
  'sweep-share': 0.1,
};

/** All operators' settings, by name. */
export type OperatorSettings = Record<keyof typeof operatorDefaults, number>;

/** Reads settings over the defaults. Throws a `SettingsError` that names origin, line and setting. */
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

/** Reads a file of settings; null: all defaults. */
export function loadOperatorSettings(path: string): OperatorSettings {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (e) {
    throw new SettingsError(`${path}: cannot be read: ${(e as NodeJS.ErrnoException).code ?? String(e)}`);
  }
  return parseOperatorSettings(text, path);
}
