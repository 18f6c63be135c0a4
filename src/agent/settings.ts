import { cpus, totalmem } from 'node:os';
import { FormReader, readForms } from '../config/forms.js';
import { SettingsError } from '../config/settings.js';
import type { Joining } from '../wire/agent-side.js';

/** What it says of itself when it joins, and how it works. */
export interface AgentSettings extends Omit<Joining, 'id'> {
  /** Control services, in the order in which they are tried, and their names. */
  controls: string[];
  controlNames: string[];
  listen: { host: string; port: number };
  directory: string;
  outputBytes: number;
  graceS: number;
  lookMs: number;
}

/** What holds unless the file or the command line say otherwise; resources are measured. */
export function agentDefaults(): AgentSettings {
  return {
    name: '',
    controls: [],
    controlNames: [],
    listen: { host: '127.0.0.1', port: 0 },
    directory: '',
    type: '',
    zone: 'here',
    cpus: cpus().length,
    gpus: 0,
    memGb: Math.floor((totalmem() / 1024 ** 3) * 10) / 10,
    attrs: {},
    outputBytes: 16 * 1024 * 1024,
    graceS: 5,
    lookMs: 500,
  };
}

const attribute = (text: string): string | number | boolean =>
  text === 'true' || text === 'false'
    ? text === 'true'
    : text !== '' && Number.isFinite(Number(text))
      ? Number(text)
      : text;

/**
 * An agent's settings:
 *
 *     (agent (name "desk-1") (control "127.0.0.1:8080") (directory "var/desk-1")
 *       (zone here) (cpus 4) (mem-gb 8) (attribute has-scanner true))
 */
export function parseAgentSettings(text: string, origin = 'agent'): AgentSettings {
  const s = agentDefaults();
  const read: FormReader = new FormReader(origin);
  for (const f of readForms(text, origin, 'agent'))
    switch (f.name) {
      case 'name':
      case 'type':
      case 'zone':
      case 'directory':
        s[f.name] = read.text(f);
        break;
      case 'control': {
        const [address, name] = read.texts(f);
        const at = read.address({ ...f, values: [address] });
        s.controls.push(`${at.host}:${at.port}`);
        s.controlNames.push(name ?? `control-${s.controls.length - 1}`);
        break;
      }
      case 'listen':
        s.listen = read.address(f);
        break;
      case 'cpus':
        s.cpus = read.number(f, 0.01);
        break;
      case 'gpus':
        s.gpus = read.number(f);
        break;
      case 'mem-gb':
        s.memGb = read.number(f, 0.01);
        break;
      case 'output-mb':
        s.outputBytes = read.number(f, 0.001) * 1024 * 1024;
        break;
      case 'grace-s':
        s.graceS = read.number(f);
        break;
      case 'attribute': {
        const [name, value] = read.texts(f);
        if (value === undefined || f.values.length !== 2) read.fail(f, 'must be (attribute NAME VALUE)');
        s.attrs[name] = attribute(value);
        break;
      }
      default:
        read.fail(f, 'unknown setting');
    }
  return checkAgentSettings(s, origin);
}

export function checkAgentSettings(s: AgentSettings, origin: string): AgentSettings {
  if (s.name === '') throw new SettingsError(`${origin}: name: missing`);
  if (s.controls.length === 0) throw new SettingsError(`${origin}: control: missing`);
  if (s.directory === '') throw new SettingsError(`${origin}: directory: missing`);
  // Machines of one type are alike: so what they have is in the name, unless they are given one.
  if (s.type === '') s.type = `c${s.cpus}-g${s.gpus}-m${s.memGb}`;
  return s;
}
