/** Executes a scale run: start, warm-up, measurement with faults, results. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Cell } from './cell.js';
import { injectFault } from './faults.js';
import type { CellFigures } from './figures.js';
import { checkCapacity, machineCapacity, type ScaleOptions } from './options.js';

const progressIntervalMs = 5000;

/** The outcome of a whole run. */
export interface RunResult {
  options: ScaleOptions;
  cells: CellFigures[];
  /** No rule was violated, and no controller exited unexpectedly. */
  ok: boolean;
}

const pause = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

async function injectFaults(cell: Cell, options: ScaleOptions): Promise<void> {
  for (const fault of options.faults) await injectFault(cell, fault, options.seconds);
}

/** Executes a run and always stops its processes at the end. `printLine` periodically receives a progress line. */
export async function runScale(options: ScaleOptions, printLine: (line: string) => void): Promise<RunResult> {
  checkCapacity(options, machineCapacity());
  const directory = mkdtempSync(join(tmpdir(), 'dapplepick-scale-'));
  const cells = Array.from(
    { length: options.cells },
    (_, i) => new Cell(i, options, join(directory, `cell-${i}`)),
  );
  const stopAll = (): void => cells.forEach((cell) => cell.stop());
  const stopOnSignal = (): never => {
    stopAll();
    process.exit(1);
  };
  process.once('SIGINT', stopOnSignal).once('SIGTERM', stopOnSignal);
  const startedAt = performance.now();
  const progress = setInterval(
    () => printLine(progressLine(cells, performance.now() - startedAt)),
    progressIntervalMs,
  );
  try {
    await Promise.all(cells.map((cell) => cell.start()));
    await pause(cells[0].warmUpMs);
    for (const cell of cells) cell.beginMeasuring();
    await Promise.all([pause(options.seconds * 1000), ...cells.map((cell) => injectFaults(cell, options))]);
    for (const cell of cells) cell.endMeasuring();
    await Promise.all(cells.map((cell) => cell.settle()));
    const figures = cells.map((cell) => cell.figures());
    const ok = figures.every((f) => f.violations.length === 0 && f.unexpectedEnds === 0);
    return { options, cells: figures, ok };
  } finally {
    clearInterval(progress);
    process.off('SIGINT', stopOnSignal).off('SIGTERM', stopOnSignal);
    stopAll();
    if (options.keepLogs) printLine(`logs: ${directory}`);
    else rmSync(directory, { recursive: true, force: true, maxRetries: 5 });
  }
}

function progressLine(cells: Cell[], ms: number): string {
  const each = cells.map((c) => `${c.workerCount} workers, ${c.running} running`).join('; ');
  const violations = cells.reduce((sum, c) => sum + c.checker.violations.length, 0);
  return `${(ms / 1000).toFixed(0).padStart(4)} s  ${each}; ${violations} rule violations`;
}
