/** The troubles of a run, one after the other. */
import type { Cell } from './cell.js';
import type { FaultName } from './options.js';
import type { ControllerProcess } from './processes.js';
import { zones } from './settings.js';

const restartAfterMs = 4000;
const outageMs = 20_000;
const shutdownTimeoutMs = 15_000;
/** A controller that was replaced has so long before the next one is. */
const rollingRestartPauseMs = 8000;
const killedMachineInterval = 10;
/** A fault is over for the figures after so long, or after the time that a short run measures. */
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

/** Brings one fault about and watches what follows. */
export async function injectFault(cell: Cell, fault: FaultName, measuredS: number): Promise<void> {
  const observationEnd = pause(Math.min(maxObservationMs, measuredS * 1000));
  cell.beginFault(fault);
  await faultActions[fault](cell);
  await observationEnd;
  cell.endFault();
}
