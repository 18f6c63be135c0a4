// Case 2: agents that vanish while the commands of their tasks go on. See claim.txt.
import { fileURLToPath } from 'node:url';
import { AgentCell, runAgentCase } from '../lib/agents.mjs';
import { sleep, trouble } from '../lib/case.mjs';

const leaseS = 18;
const reportS = 2.5;
/** Agents with one task each, and as many without, which take the tasks over. */
const agentsPerSide = 16;
const id = 'req-000001';
const side = (letter) => [...Array(agentsPerSide).keys()].map((i) => `desk-${letter}${i}`);
const sides = [side('a'), side('b')];

const cell = new AgentCell(fileURLToPath(new URL('.', import.meta.url)), { reportS, leaseS, agents: sides.flat(), cpus: 1 });
await cell.prepare();

/** When each attempt of each task was seen running: it notes the machine's uptime every 50 ms. */
function attempts() {
  const seen = new Map();
  for (const line of cell.ran()) {
    const [index, attempt, host, uptime] = line.split(' ');
    if (uptime === undefined || uptime === '') continue;
    const key = `${index} ${attempt} ${host}`;
    const at = Number(uptime);
    const a = seen.get(key) ?? { index: Number(index), attempt: Number(attempt), host, first: at, last: at };
    a.first = Math.min(a.first, at);
    a.last = Math.max(a.last, at);
    seen.set(key, a);
  }
  return [...seen.values()];
}
const tasksStartedOn = (names) =>
  new Set(attempts().filter((a) => names.some((n) => a.host.startsWith(`${n}.`) || a.host === n)).map((a) => a.index)).size;

await runAgentCase(cell, 'ran_twice', async () => {
  cell.startControl();
  await cell.controlUp();
  for (const name of sides[0]) cell.startAgent(name);
  await cell.joined(agentsPerSide);
  const loop = `while read up rest < /proc/uptime; do echo "$DAPPLEPICK_INDEX $DAPPLEPICK_ATTEMPT $DAPPLEPICK_HOST $up" >> ${cell.ranFile}; sleep 0.05; done`;
  // `timeout` runs what it is given in a process group of its own, as it always does.
  await cell.submit(id, agentsPerSide, `timeout 600 sh -c 'for i in 1 2 3 4 5 6; do sleep 600 & done; ${loop}'`, 600);
  await cell.until('all tasks run', 30, () => tasksStartedOn(sides[0]) === agentsPerSide);
  for (const name of sides[1]) cell.startAgent(name);
  await cell.joined(2 * agentsPerSide);
  // Two rounds: the agents of one side vanish, those of the other take over; the first side is started again for the second round.
  for (const [from, to] of [[0, 1], [1, 0]]) {
    await sleep(2 * reportS * 1000);
    if (trouble) {
      for (const name of sides[from]) {
        cell.kill(name);
        await sleep(Math.random() * 250);
      }
      await sleep((leaseS + 6) * 1000);
      if (to === 1) for (const name of sides[from]) cell.startAgent(name);
    } else await sleep((leaseS + 6) * 1000);
  }
  await cell.ask('GET', `/work/${id}`, null);
  const all = attempts();
  const overlaps = [];
  for (const a of all) {
    cell.record(`ran: task ${a.index} attempt ${a.attempt} on ${a.host} from ${a.first} to ${a.last}`);
    for (const b of all)
      if (a.index === b.index && a.host !== b.host && a.first < b.first && b.first < a.last)
        overlaps.push(`task ${a.index} starts on ${b.host} while it is on ${a.host}, for ${(a.last - b.first).toFixed(2)} s`);
  }
  if (trouble && all.length < 2 * agentsPerSide) throw new Error('the tasks were not started again');
  for (const text of overlaps) cell.record(`RULE BROKEN ran_twice: ${text}`);
  return overlaps.length === 0 ? null : `${overlaps.length} times, first: ${overlaps[0]}`;
});
