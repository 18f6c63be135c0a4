// A control service and agents as processes, and the end of everything that they leave behind.
import { readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { deployCommand, freePorts, sleep, until } from './case.mjs';
import { call } from './platform.mjs';

/** The program of the deploy file with other arguments than those for a controller. */
export const program = (...args) => {
  const command = deployCommand();
  return [...command.slice(0, command.indexOf('target/main.js') + 1), ...args];
};

/** Kills every process that carries the name of this run's temporary folder in its environment: commands and their watchdogs. */
export function killLeftovers(run) {
  for (let round = 0; round < 5; round++) {
    let found = 0;
    for (const pid of readdirSync('/proc').filter((n) => /^\d+$/.test(n) && Number(n) !== process.pid)) {
      let text = '';
      try {
        text = readFileSync(`/proc/${pid}/environ`, 'latin1');
      } catch {
        continue;
      }
      if (!text.includes(run.dir)) continue;
      found++;
      try {
        process.kill(Number(pid), 'SIGKILL');
      } catch {
        // It has ended meanwhile.
      }
    }
    if (found === 0) return;
  }
}

/** Starts a control service with an embedded store. `settings`: further forms of its settings file. */
export async function startControl(run, settings) {
  const [port] = await freePorts(1);
  const address = `127.0.0.1:${port}`;
  const file = join(run.dir, 'control.scm');
  writeFileSync(file, `(control (listen "${address}") (directory "${join(run.dir, 'store')}") (zones here) ${settings})\n`);
  const start = () => run.spawn('control', program('control', file));
  const control = { address, start, process: start() };
  const up = await until(async () => (await call(address, 'GET', '/healthz', null, 1000))?.status === 200, 20_000);
  if (!up) await run.end(2, 'the control service did not become healthy');
  run.record(`control service at ${address}: ${settings}`);
  return control;
}

/** Starts an agent. `settings`: further forms of its settings file. */
export function startAgent(run, control, name, settings) {
  const file = join(run.dir, `${name}.scm`);
  writeFileSync(file, `(agent (name "${name}") (control "${control.address}") (directory "${join(run.dir, name)}") ${settings})\n`);
  const agent = { name, process: null };
  agent.restart = () => (agent.process = run.spawn(name, program('agent', 'run', file), { REVIEW_RUN: run.dir }));
  agent.restart();
  return agent;
}

/** Waits until the control service lists this many machines as up. */
export const machinesUp = (control, count, ms = 20_000) =>
  until(async () => {
    const reply = await call(control.address, 'GET', '/machines', null, 2000);
    return (reply?.body?.machines ?? []).filter((m) => m.state === 'up').length >= count;
  }, ms);

export { sleep };
