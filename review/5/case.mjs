// A gang of 10,000 small tasks; with TROUBLE, three machines fail every task that it starts. No controller may end by itself.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { healthy, job, ledgerNode, lineage, poll, Run, sleep, startControllers, submit, trouble, until } from '../lib2/case.mjs';
import { Platform } from '../lib2/platform.mjs';
import { StateService } from '../lib2/state.mjs';

const run = new Run(dirname(fileURLToPath(import.meta.url)));
const state = new StateService(lineage.state);
const platform = new Platform({
  types: [ledgerNode],
  capacity: 12,
  bootMs: 2000,
  listLagMs: lineage.cloud.list_lag_s * 1000,
  workers: lineage.workers,
  record: run.record,
});
run.cleanups.push(() => platform.stop(), () => state.stop());
await state.start();
await platform.start();

// Thousands of timers of tasks are not needed: what runs here runs to the end of the case.
const gang = job('req-000500', {
  jobclass: 'family-link', shape: 'ensemble', pieces: 10_000, cpus: 0.016, memGb: 0.05, pullGb: 0.0, expectS: 15, runMs: 15_000,
});
platform.fetchMs = 5; // the job has no image to fetch
platform.jobs.set(gang.nameId, gang);
let sick = 0;
platform.onBoot = (worker) => {
  if (!trouble || sick >= 3) return;
  sick++;
  worker.sick = true;
  run.record(`trouble: ${worker.machine.host} fails every task that it starts`);
};
const nodes = await startControllers(run, lineage, { cloud: platform.address, state: state.address });
platform.controllers = nodes;
if (!(await until(async () => (await Promise.all(nodes.map(healthy))).every(Boolean), 20_000)))
  await run.end(2, 'the controllers did not become healthy');
await sleep(2000);
const accepted = await submit(run, nodes, gang);
if (accepted?.status !== 201) await run.end(2, 'the job was not accepted');

const ended = () => nodes.filter((n) => n.process.exit !== null);
const endAt = performance.now() + (trouble ? 60_000 : 80_000);
let last = null;
while (performance.now() < endAt && ended().length === 0) {
  await sleep(2000);
  last = await poll(run, nodes.filter((n) => n.process.exit === null), gang.nameId);
  run.record(`workers: ${platform.starts} starts, exits ${JSON.stringify(platform.exits)}, reports answered ${[...platform.machines.values()].map((m) => m.worker?.reports.answered).join(" ")}`);
  if (last?.body?.status === 'done') break;
  if (!trouble && platform.completed.size === gang.pieces) break;
}
if (ended().length > 0) {
  for (const n of ended()) for (const line of run.tail(n.process)) run.record(`${n.member}: ${line}`);
  await run.end(1, `${ended().map((n) => n.member).join(', ')} ended by itself`);
}
if (!trouble && platform.completed.size === 0) await run.end(2, 'without trouble the gang did not run');
await run.end(0, 'no controller ended by itself');
