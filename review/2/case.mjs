// Case 2: an agent that loses the network for longer than its lease, just after a start command has reached it. See claim.txt.
import net from 'node:net';
import { fileURLToPath } from 'node:url';
import { AgentCell, runAgentCase } from '../lib/agents.mjs';
import { now, sleep, trouble } from '../lib/case.mjs';

const leaseS = 18;
const reportS = 2.5;
const cancelS = 38;
/** How long the agent is cut off: longer than the lease. */
const cutS = 24;
const id = 'req-000001';

const cell = new AgentCell(fileURLToPath(new URL('.', import.meta.url)), { reportS, leaseS, agents: ['desk-1', 'desk-2'], cpus: 1 });
await cell.prepare();

/** The network between desk-1 and the control service. During a cut nothing passes, and what was sent meanwhile is lost. */
class Link {
  constructor(port) { Object.assign(this, { port, cut: false, pairs: new Set(), onOrders: () => undefined }); }
  async listen() {
    this.server = net.createServer((agent) => {
      const control = net.connect(this.port, '127.0.0.1');
      const pair = { agent, control };
      this.pairs.add(pair);
      agent.on('data', (d) => { if (!this.cut) control.write(d); });
      control.on('data', (d) => {
        if (this.cut) return;
        agent.write(d);
        if (d.includes('"verb":"run"')) this.onOrders();
      });
      for (const s of [agent, control]) {
        s.on('error', () => undefined);
        s.on('close', () => { agent.destroy(); control.destroy(); this.pairs.delete(pair); });
      }
    });
    await new Promise((r) => this.server.listen(0, '127.0.0.1', r));
    return `127.0.0.1:${this.server.address().port}`;
  }
  begin() { this.cut = true; cell.record('desk-1 is cut off'); }
  /** Connections of before the cut are gone; new ones work again. */
  end() {
    for (const { agent, control } of this.pairs) { agent.destroy(); control.destroy(); }
    this.cut = false;
    cell.record('desk-1 is connected again');
  }
  close() { this.server.close(); for (const { agent, control } of this.pairs) { agent.destroy(); control.destroy(); } }
}
const link = new Link(Number(cell.address.split(':')[1]));
cell.writeAgent('desk-1', await link.listen());

/** When each attempt was seen running: it notes the machine's uptime five times a second. */
function attempts() {
  const seen = new Map();
  for (const line of cell.ran()) {
    const [attempt, host, uptime] = line.split(' ');
    if (!uptime) continue;
    const a = seen.get(`${attempt} ${host}`) ?? { attempt, host, first: Infinity, last: 0, times: [] };
    const at = Number(uptime);
    a.first = Math.min(a.first, at);
    a.last = Math.max(a.last, at);
    a.times.push(at);
    seen.set(`${attempt} ${host}`, a);
  }
  return [...seen.values()].sort((a, b) => a.first - b.first);
}
const overlap = () => {
  const [a, b] = attempts();
  return a && b ? Math.min(a.last, b.last) - b.first : 0;
};

await runAgentCase(cell, 'ran_twice', async () => {
  cell.startControl();
  await cell.controlUp();
  cell.startAgent('desk-1');
  await cell.joined(1);
  const ordered = new Promise((resolve) => { link.onOrders = () => { if (trouble && !link.cut) link.begin(); link.onOrders = () => undefined; resolve(); }; });
  // One task of one CPU, which goes on for 600 s unless it is stopped.
  await cell.submit(id, 1, `n=0; while [ $n -lt 3000 ]; do read up rest < /proc/uptime; echo "$DAPPLEPICK_ATTEMPT $DAPPLEPICK_HOST $up" >> ${cell.ranFile}; sleep 0.2; n=$((n+1)); done`, 600);
  await ordered;
  cell.record('the start command has reached desk-1');
  const cutAt = now();
  cell.startAgent('desk-2');
  await cell.joined(2);
  await sleep(Math.max(0, cutAt + cutS * 1000 - now()));
  if (trouble) link.end();
  for (const limit = cutAt + 46_000; now() < limit && overlap() < 5; await sleep(500));
  const overlapS = overlap();
  await cell.ask('GET', `/work/${id}`, null);
  for (const a of attempts()) cell.record(`ran: attempt ${a.attempt} on ${a.host} from ${a.first} to ${a.last}`);
  // The user cancels the job: within cancel_s of the answer all of its tasks must be gone.
  let r = null;
  while (r?.status !== 200) r = await cell.ask('POST', `/work/${id}/withdraw`, null);
  const toldAt = now();
  const before = attempts().map((a) => a.last);
  await sleep(Math.min((cancelS + 2) * 1000, 112_000 - cell.elapsed * 1000));
  const waitedS = (now() - toldAt) / 1000;
  const stillOn = attempts().filter((a) => a.last > Math.max(...before) + Math.min(cancelS, waitedS - 1));
  for (const a of attempts()) cell.record(`ran: attempt ${a.attempt} on ${a.host} from ${a.first} to ${a.last}`);
  for (const a of stillOn) cell.record(`attempt ${a.attempt} on ${a.host} still runs ${waitedS.toFixed(0)} s after the job was called ${r.body.status} (cancel_s is ${cancelS} s)`);
  link.close();
  if (attempts().length === 0) throw new Error('the task did not run');
  if (overlapS <= 0) return null;
  const [a, b] = attempts();
  return `task 0 starts on ${b.host} (attempt ${b.attempt}) while it is on ${a.host} (attempt ${a.attempt}); both ran for ${overlapS.toFixed(1)} s and more` +
    (stillOn.length > 0 ? `; attempt ${stillOn[0].attempt} on ${stillOn[0].host} still ran ${waitedS.toFixed(0)} s after the job was called aborted` : '');
});
