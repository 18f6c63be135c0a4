// What the cases with a control service and agents share: settings files as in deploy/control.scm and deploy/agent.scm, the
// project's programs as separate processes, a user, the record, and the end of all that was started.
import { spawn } from 'node:child_process';
import { appendFileSync, existsSync, mkdtempSync, openSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { call, freePort, now, root, sleep } from './case.mjs';

export class AgentCell {
  /** Intervals and lease in seconds; `agents`: their names; each has `cpus` CPUs. */
  constructor(folder, { reportS, leaseS, agents, cpus }) {
    Object.assign(this, { reportS, leaseS, agents, cpus });
    this.recordFile = join(folder, 'record.txt');
    writeFileSync(this.recordFile, '');
    this.dir = mkdtempSync(join(tmpdir(), 'review-'));
    this.startedAt = now();
    this.running = new Map();
    this.ranFile = join(this.dir, 'ran');
    writeFileSync(this.ranFile, '');
  }
  get elapsed() { return (now() - this.startedAt) / 1000; }
  record(text) { appendFileSync(this.recordFile, `${this.elapsed.toFixed(3).padStart(8)}  ${text}\n`); }

  async prepare() {
    this.address = `127.0.0.1:${await freePort()}`;
    writeFileSync(join(this.dir, 'control.scm'),
      `(control (listen "${this.address}") (directory "${join(this.dir, 'control')}") (zones arima) (report-s ${this.reportS}) (lease-s ${this.leaseS}) (team results-desk))\n`);
    for (const name of this.agents) this.writeAgent(name, this.address);
  }
  /** `control`: where the agent finds the control service. */
  writeAgent(name, control) {
    writeFileSync(join(this.dir, `${name}.scm`),
      `(agent (name "${name}") (control "${control}") (directory "${join(this.dir, name)}") (zone arima) (cpus ${this.cpus}) (mem-gb 4))\n`);
  }
  start(name, args) {
    const log = openSync(join(this.dir, `${name}.log`), 'a');
    const child = spawn(process.execPath, ['target/main.js', ...args], { cwd: root, stdio: ['ignore', log, log] });
    this.running.set(name, child);
    child.once('exit', (code, signal) => this.record(`${name}: process ended, code ${code}, signal ${signal}`));
    this.record(`${name}: process started`);
  }
  /** `dapplepick control FILE` */
  startControl() { this.start('control', ['control', join(this.dir, 'control.scm')]); }
  /** `dapplepick agent run FILE` */
  startAgent(name) { this.start(name, ['agent', 'run', join(this.dir, `${name}.scm`)]); }
  kill(name) { this.running.get(name)?.kill('SIGKILL'); }

  async until(what, limitS, test) {
    for (const end = now() + limitS * 1000; now() < end; await sleep(200)) if (await test()) return;
    throw new Error(`not reached within ${limitS} s: ${what}`);
  }
  async controlUp() {
    await this.until('the control service is up', 20, async () => (await call(this.address, 'GET', '/healthz', null, 1000))?.status === 200);
  }
  /** Waits until this many agents have joined and reported. */
  async joined(count) {
    await this.until(`${count} agents have joined`, 30, async () =>
      (await call(this.address, 'GET', '/machines', null, 1000))?.body?.machines?.length >= count);
  }
  async ask(method, path, body) {
    const r = await call(this.address, method, path, body, method === 'GET' ? 2000 : 5000);
    this.record(`user: ${method} ${path}: ${r ? `${r.status} ${JSON.stringify(r.body)}` : 'no answer'}`);
    return r;
  }
  /** Submits a job of `pieces` tasks of one CPU that run a shell script; retries as PROTOCOL tells users to. */
  async submit(id, pieces, script, expectS) {
    const spec = {
      nameId: id, jobclass: 'split-calc', owner: 'results-desk', shape: 'sweep', urgency: 'normal', pieces,
      cpus: 1.0, cards: 0.0, memGb: 0.5, bundle: 'none', pullGb: 0.0, flavours: null, yard: null, oneZone: false, apart: false,
      loaners: false, expectS, snapshotS: 0.0, flushS: 0.0, dueS: null, command: ['sh', '-c', script],
    };
    this.record(`the tasks run: ${script}`);
    for (const end = now() + 60_000; now() < end; await sleep(1000)) {
      const r = await this.ask('POST', '/work', spec);
      if (r?.status === 201 || r?.status === 200) return;
    }
    throw new Error('the job was not accepted');
  }
  /** The lines that the tasks have written. */
  ran() { return readFileSync(this.ranFile, 'utf8').split('\n').filter((line) => line !== ''); }

  /** Ends the control service, the agents, and the commands of tasks that are left. */
  end(code) {
    for (const child of this.running.values()) child.kill('SIGKILL');
    // Every process of a task carries the mark of its agent in its environment.
    const marks = [];
    for (const name of this.agents) {
      const file = join(this.dir, name, 'agent.json');
      if (existsSync(file)) marks.push(`DAPPLEPICK_TASK=${JSON.parse(readFileSync(file, 'utf8')).id}/`);
    }
    for (const pid of readdirSync('/proc').filter((p) => /^\d+$/.test(p))) {
      try {
        const environ = readFileSync(`/proc/${pid}/environ`, 'latin1').split('\0');
        if (environ.some((v) => marks.some((m) => v.startsWith(m)))) process.kill(Number(pid), 'SIGKILL');
      } catch { /* it has ended, or is not ours */ }
    }
    // The agents' watchdogs end by themselves within some two seconds when their directories are gone.
    if (!process.env.KEEP) rmSync(this.dir, { recursive: true, force: true });
    setTimeout(() => process.exit(code), 3000);
  }
}

/** Runs a case. `body` returns null if the rule held, or says how it was broken; it throws if the case could not run. */
export async function runAgentCase(cell, rule, body) {
  for (const s of ['SIGINT', 'SIGTERM']) process.once(s, () => cell.end(2));
  const limit = setTimeout(() => { cell.record('time is over'); cell.end(2); }, 116_000);
  try {
    const broken = await body();
    cell.record(broken ? `VERDICT broken: ${rule}: ${broken}` : 'VERDICT held');
    process.stdout.write(`${broken ? `broken: ${rule}: ${broken}` : 'held'}\n`);
    cell.end(broken ? 1 : 0);
  } catch (e) {
    cell.record(`could not run: ${e.stack}`);
    process.stdout.write(`could not run: ${e.message}\n`);
    cell.end(2);
  }
  clearTimeout(limit);
}
