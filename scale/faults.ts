/** Fault injection for a scale run. */
import type { Cell } from './cell.js';
import type { FaultName } from './options.js';
import type { ControllerProcess } from './processes.js';
import { zones } from './settings.js';

const restartAfterMs = 4000;
const outageMs = 20_000;
const shutdownTimeoutMs = 15_000;
/** Pause between two controllers in a rolling restart. */
const rollingRestartPauseMs = 8000;
const killedMachineInterval = 10;
/** The effects of a fault are observed for this long, or for the measured time of the run if that is shorter. */
const maxObservationMs = 30_000;

const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

const controllerByName = (cell: Cell, name: string | null): ControllerProcess =>
  cell.controllers.find((c) => c.name === name) ?? cell.controllers[0];

async function killAndRestart(controller: ControllerProcess): Promise<void> {
  controller.kill();
  await pause(restartAfterMs);
  controller.start();
}

async function restartAllInTurn(cell: Cell): Promise<void> {
  for (const controller of cell.controllers) {
    await controller.shutDown(shutdownTimeoutMs);
    controller.start();
    await pause(rollingRestartPauseMs);
  }
}

const faultActions: Record<FaultName, (cell: Cell) => Promise<void>> = {
  owner: (cell) => killAndRestart(controllerByName(cell, cell.owner)),
  leader: (cell) => killAndRestart(controllerByName(cell, cell.leader)),
  roll: restartAllInTurn,
  state: async (cell) => {
    cell.refuseStateRequests(outageMs);
    await pause(outageMs);
  },
  tenth: async (cell) => {
    const hosts = [...cell.machines.keys()];
    cell.killMachines(hosts.filter((_, i) => i % killedMachineInterval === 0));
  },
  zone: async (cell) => {
    const hosts = [...cell.machines].filter(([, zone]) => zone === zones[0]).map(([host]) => host);
    cell.restartWorkers(hosts);
  },
};

/** Injects one fault and observes the cell until the fault counts as over. */
export async function injectFault(cell: Cell, fault: FaultName, measuredS: number): Promise<void> {
  const observationEnd = pause(Math.min(maxObservationMs, measuredS * 1000));
  cell.beginFault(fault);
  await faultActions[fault](cell);
  await observationEnd;
  cell.endFault();
}
