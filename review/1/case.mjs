// Case 1: a control service that is away for longer than the lease of its agents. See claim.txt.
import { fileURLToPath } from 'node:url';
import { AgentCell, runAgentCase } from '../lib/agents.mjs';
import { sleep, trouble } from '../lib/case.mjs';

const leaseS = 18;
const reportS = 2.5;
const taskS = 35;
/** How long the control service is away: longer than the lease. */
const awayS = 26;
const tasks = 4;
const limitS = 112;
const id = 'req-000001';

const cell = new AgentCell(fileURLToPath(new URL('.', import.meta.url)), { reportS, leaseS, agents: ['desk-1', 'desk-2'], cpus: 2 });
await cell.prepare();
const ended = () => new Set(cell.ran().filter((line) => line.startsWith('end ')).map((line) => line.split(' ')[1]));

await runAgentCase(cell, 'not_done', async () => {
  cell.startControl();
  await cell.controlUp();
  for (const name of cell.agents) cell.startAgent(name);
  await cell.joined(cell.agents.length);
  const note = (what) => `echo "${what} $DAPPLEPICK_INDEX attempt $DAPPLEPICK_ATTEMPT" >> ${cell.ranFile}`;
  await cell.submit(id, tasks, `${note('begin')}; sleep ${taskS}; ${note('end')}`, taskS);
  await cell.until('all tasks run', 30, () => cell.ran().length >= tasks);
  await sleep(2 * reportS * 1000);
  await cell.ask('GET', `/work/${id}`, null);
  if (trouble) {
    cell.record(`control service killed; away for ${awayS} s; the agents' lease is ${leaseS} s`);
    cell.kill('control');
    await sleep(awayS * 1000);
    for (const line of cell.ran()) cell.record(`ran so far: ${line}`);
    cell.startControl();
  }
  while (cell.elapsed < limitS) {
    const r = await cell.ask('GET', `/work/${id}`, null);
    if (r?.status === 200 && r.body.status === 'done') {
      // The rule: done only when every task is done, and a task is done when its command has ended by itself.
      const missing = [...Array(tasks).keys()].filter((i) => !ended().has(String(i)));
      for (const line of cell.ran()) cell.record(`ran: ${line}`);
      await cell.ask('GET', `/work/${id}/tasks`, null);
      return missing.length === 0 ? null : `${id} is called done, but the commands of ${missing.length} of its ${tasks} tasks have not ended`;
    }
    await sleep(2000);
  }
  for (const line of cell.ran()) cell.record(`ran: ${line}`);
  cell.record('the job was not called done in the time of the case');
  return null;
});
