/** The settings of an agent: defaults, and parsing and validation of the settings file. */
import { cpus, totalmem } from 'node:os';
import { FormReader, readForms } from '../config/forms.js';
import { SettingsError } from '../config/settings.js';
import type { JoinRequest } from '../wire/agent.js';

/** The settings of an agent: the description of its machine that it sends when it joins, and its own configuration. */
export interface AgentSettings extends Omit<JoinRequest, 'id'> {
  /** The addresses of control services, HOST:PORT, in the order in which they are tried. */
  controls: string[];
  /** The member names of the control services, in the same order. */
  controlNames: string[];
  /** The address that the agent listens on; port 0 selects any free port. */
  listen: { host: string; port: number };
  /** The directory for the agent's records and the output of tasks. */
  directory: string;
  /** The maximum size of each output file. */
  outputBytes: number;
  /** For commands that exceed their wall time: the time between SIGTERM and SIGKILL, s. */
  graceS: number;
  /** The interval at which commands are checked against their limits, ms. */
  checkIntervalMs: number;
}

/** Returns the default settings, with the machine's actual CPUs and memory. */
export function defaultAgentSettings(): AgentSettings {
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
    checkIntervalMs: 500,
  };
}

const attributeValue = (text: string): string | number | boolean =>
  text === 'true' || text === 'false'
    ? text === 'true'
    : text !== '' && Number.isFinite(Number(text))
      ? Number(text)
      : text;

/**
 * Parses an agent's settings file:
 *
 *     (agent (name "desk-1") (control "127.0.0.1:8080") (directory "var/desk-1")
 *       (zone here) (cpus 4) (mem-gb 8) (attribute has-scanner true))
 */
export function parseAgentSettings(text: string, origin = 'agent'): AgentSettings {
  const settings = defaultAgentSettings();
  const reader: FormReader = new FormReader(origin);
  for (const form of readForms(text, origin, 'agent'))
    switch (form.name) {
      case 'name':
      case 'type':
      case 'zone':
      case 'directory':
        settings[form.name] = reader.text(form);
        break;
      case 'control': {
        const [address, name] = reader.texts(form);
        const endpoint = reader.address({ ...form, values: [address] });
        settings.controls.push(`${endpoint.host}:${endpoint.port}`);
        settings.controlNames.push(name ?? `control-${settings.controls.length - 1}`);
        break;
      }
      case 'listen':
        settings.listen = reader.address(form);
        break;
      case 'cpus':
        settings.cpus = reader.number(form, 0.01);
        break;
      case 'gpus':
        settings.gpus = reader.number(form);
        break;
      case 'mem-gb':
        settings.memGb = reader.number(form, 0.01);
        break;
      case 'output-mb':
        settings.outputBytes = reader.number(form, 0.001) * 1024 * 1024;
        break;
      case 'grace-s':
        settings.graceS = reader.number(form);
        break;
      case 'attribute': {
        const [name, value] = reader.texts(form);
        if (value === undefined || form.values.length !== 2)
          reader.fail(form, 'must be (attribute NAME VALUE)');
        settings.attrs[name] = attributeValue(value);
        break;
      }
      default:
        reader.fail(form, 'unknown setting');
    }
  return validateAgentSettings(settings, origin);
}

/** Validates the settings and fills in the machine type if it is not set. */
export function validateAgentSettings(settings: AgentSettings, origin: string): AgentSettings {
  if (settings.name === '') throw new SettingsError(`${origin}: name: missing`);
  if (settings.controls.length === 0) throw new SettingsError(`${origin}: control: missing`);
  if (settings.directory === '') throw new SettingsError(`${origin}: directory: missing`);
  // Machines of one type must have the same resources, so the default type name is derived from them.
  if (settings.type === '') settings.type = `c${settings.cpus}-g${settings.gpus}-m${settings.memGb}`;
  return settings;
}
