// Case 1: a control service that is away for longer than the lease of its agents. See claim.txt.
import { spawn } from 'node:child_process';
import { appendFileSync, existsSync, mkdtempSync, openSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { call, freePort, now, root, sleep, trouble } from '../lib/case.mjs';

const reportS = 2.5;
const leaseS = 18;
const taskS = 35;
/** How long the control service is away: longer than `lease-s`. */
const awayS = 26;
const tasks = 4;
const limitS = 112;

const folder = fileURLToPath(new URL('.', import.meta.url));
const recordFile = join(folder, 'record.txt');
writeFileSync(recordFile, '');
const dir = mkdtempSync(join(tmpdir(), 'review-'));
const startedAt = now();
const elapsed = () => (now() - startedAt) / 1000;
const record = (text) => appendFileSync(recordFile, `${elapsed().toFixed(3).padStart(8)}  ${text}\n`);

const port = await freePort();
const address = `127.0.0.1:${port}`;
const ranFile = join(dir, 'ran');
writeFileSync(ranFile, '');
const zone = 'arima';
// As deploy/control.scm and deploy/agent.scm, with the intervals and the lease of the deployment striders-results-tt.
writeFileSync(join(dir, 'control.scm'),
  `(control (listen "${address}") (directory "${join(dir, 'control')}") (zones ${zone}) (report-s ${reportS}) (lease-s ${leaseS}) (team results-desk))\n`);
const agents = ['desk-1', 'desk-2'];
for (const name of agents)
  writeFileSync(join(dir, `${name}.scm`),
    `(agent (name "${name}") (control "${address}") (directory "${join(dir, name)}") (zone ${zone}) (cpus 2) (mem-gb 4))\n`);

const running = new Map();
/** Starts one of the project's programs: `dapplepick control FILE` or `dapplepick agent run FILE`. */
function start(name, args) {
  const log = openSync(join(dir, `${name}.log`), 'a');
  const child = spawn(process.execPath, ['target/main.js', ...args], { cwd: root, stdio: ['ignore', log, log] });
  running.set(name, child);
  child.once('exit', (code, signal) => record(`${name}: process ended, code ${code}, signal ${signal}`));
  record(`${name}: process started`);
}
const startControl = () => start('control', ['control', join(dir, 'control.scm')]);

/** Ends the control service, the agents, and the commands of tasks that are left. */
function end(code) {
  for (const child of running.values()) child.kill('SIGKILL');
  for (const name of agents) {
    const taskDir = join(dir, name, 'tasks');
    for (const task of existsSync(taskDir) ? readdirSync(taskDir) : []) {
      const pidFile = join(taskDir, task, 'pid');
      const group = existsSync(pidFile) ? Number(readFileSync(pidFile, 'latin1')) : 0;
      if (group > 1) try { process.kill(-group, 'SIGKILL'); } catch { /* it has ended */ }
    }
  }
  // The agents' watchdogs end by themselves within a second when the directory is gone.
  if (!process.env.KEEP) rmSync(dir, { recursive: true, force: true });
  setTimeout(() => process.exit(code), 2500);
}
for (const s of ['SIGINT', 'SIGTERM']) process.once(s, () => end(2));

async function ask(method, path, body) {
  const r = await call(address, method, path, body, method === 'GET' ? 2000 : 5000);
  record(`user: ${method} ${path}: ${r ? `${r.status} ${JSON.stringify(r.body)}` : 'no answer'}`);
  return r;
}
const ran = () => readFileSync(ranFile, 'utf8').split('\n').filter((line) => line !== '');
const ended = () => new Set(ran().filter((line) => line.startsWith('end ')).map((line) => line.split(' ')[1]));

async function main() {
  startControl();
  const up = async (path, test) => {
    for (let i = 0; i < 100; i++) {
      const r = await call(address, 'GET', path, null, 1000);
      if (r?.status === 200 && test(r.body)) return;
      await sleep(200);
    }
    throw new Error(`not up: ${path}`);
  };
  await up('/healthz', () => true);
  for (const name of agents) start(name, ['agent', 'run', join(dir, `${name}.scm`)]);
  await up('/machines', (body) => body.machines.length === agents.length);
  const id = 'req-000001';
  const script = `echo "begin $DAPPLEPICK_INDEX attempt $DAPPLEPICK_ATTEMPT" >> ${ranFile}; sleep ${taskS}; echo "end $DAPPLEPICK_INDEX attempt $DAPPLEPICK_ATTEMPT" >> ${ranFile}`;
  const spec = {
    nameId: id, jobclass: 'split-calc', owner: 'results-desk', shape: 'sweep', urgency: 'normal', pieces: tasks,
    cpus: 1.0, cards: 0.0, memGb: 0.5, bundle: 'none', pullGb: 0.0, flavours: null, yard: null, oneZone: false, apart: false,
    loaners: false, expectS: taskS, snapshotS: 0.0, flushS: 0.0, dueS: null, command: ['sh', '-c', script],
  };
  let accepted = false;
  for (let i = 0; i < 20 && !accepted; i++) {
    const r = await ask('POST', '/work', spec);
    accepted = r?.status === 201 || r?.status === 200;
    if (!accepted) await sleep(1000);
  }
  if (!accepted) throw new Error('the job was not accepted');
  for (let i = 0; i < 100 && ran().length < tasks; i++) await sleep(200);
  if (ran().length !== tasks) throw new Error('the tasks did not start');
  await sleep(2 * reportS * 1000);
  await ask('GET', `/work/${id}`, null);
  if (trouble) {
    record(`control service killed; away for ${awayS} s; the agents' lease is ${leaseS} s`);
    running.get('control').kill('SIGKILL');
    await sleep(awayS * 1000);
    for (const line of ran()) record(`ran so far: ${line}`);
    startControl();
  }
  for (; elapsed() < limitS;) {
    const r = await ask('GET', `/work/${id}`, null);
    if (r?.status === 200 && r.body.status === 'done') {
      // The rule: done only when every task is done, and a task is done when its command has ended by itself.
      const missing = [...Array(tasks).keys()].filter((i) => !ended().has(String(i)));
      for (const line of ran()) record(`ran: ${line}`);
      await ask('GET', `/work/${id}/tasks`, null);
      return missing.length === 0 ? null : `${id} is called done, but the commands of ${missing.length} of its ${tasks} tasks have not ended`;
    }
    await sleep(2000);
  }
  for (const line of ran()) record(`ran: ${line}`);
  record('the job was not called done in the time of the case');
  return null;
}

try {
  const broken = await main();
  record(broken ? `VERDICT broken: not_done: ${broken}` : 'VERDICT held');
  process.stdout.write(`${broken ? `broken: not_done: ${broken}` : 'held'}\n`);
  end(broken ? 1 : 0);
} catch (e) {
  record(`could not run: ${e.stack}`);
  process.stdout.write(`could not run: ${e.message}\n`);
  end(2);
}
